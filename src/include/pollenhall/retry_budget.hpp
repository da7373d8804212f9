// Limits on retries: a budget for one request over its whole call tree, and
// a ratio of retries to first attempts for each service.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Unspent retries that one node holds for one call of a request. A node lends
/// part of its budget to each nested call, whose answer returns what was not
/// spent. If the answer is lost, the lent part counts as spent. Therefore the
/// retries over the whole call tree never exceed the budget given at its root.
/// Not thread-safe.
class retry_budget
{
public:
    /// Creates a budget of `total` retries; a negative number counts as 0.
    explicit retry_budget(retry_count total);

    /// Returns how many retries can still be spent or lent.
    [[nodiscard]] retry_count unspent() const { return unspent_; }

    /// Spends one retry; returns false if none is left.
    bool spend();

    /// Lends up to `amount` retries; returns how many were lent.
    retry_count lend(retry_count amount);
    /// Lends all unspent retries.
    retry_count lend_all() { return lend(unspent_); }
    /// Lends half of the unspent retries, rounded up, and keeps the rest for
    /// sibling calls.
    retry_count lend_half()
    {
        return lend(retry_count((unspent_.value() + 1) / 2));
    }
    /// Takes back the retries that a call did not spend. `returned` is clamped
    /// to the range from 0 to `lent`, or to what is still outstanding if that
    /// is less.
    void give_back(retry_count returned, retry_count lent);

private:
    // Never negative.
    retry_count unspent_;
    // Retries that were lent and not yet settled; an upper bound of what may
    // be returned.
    retry_count outstanding_{0};
};

/// Settings of `retry_ratio`.
struct retry_ratio_options
{
    /// Retries allowed per first attempt.
    double ratio = 0.1;
    /// Largest number of retries that can accumulate.
    double burst = 10;
};

/// Token bucket that limits the retries to one service to a fraction of its
/// first attempts, so that retries cannot amplify an overload. Not thread-safe.
class retry_ratio
{
public:
    explicit retry_ratio(retry_ratio_options options = {});

    /// Counts a first attempt.
    void on_first_attempt();
    /// Spends one retry; returns false if the ratio is exhausted.
    bool spend();

private:
    retry_ratio_options options_;
    // Between 0 and options_.burst.
    double tokens_;
};

/// Settings of `retry_backoff`.
struct backoff_options
{
    milliseconds base{10};
    milliseconds cap{250};
};

/// Returns the delay before retry number `attempt` (1 for the first retry):
/// exponential backoff with full jitter, uniform between 0 and a bound that
/// doubles with each retry from `base` up to `cap`. `random` is any 64 random
/// bits.
milliseconds retry_backoff(int attempt, std::uint64_t random,
                           backoff_options options = {});

} // namespace pollenhall
