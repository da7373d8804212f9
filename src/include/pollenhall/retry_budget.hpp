// Limits on retries: a budget for one request over its whole call tree, and
// a ratio of retries to first tries for each service.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Unspent retries that one node holds for one call of a request. Parts are
/// lent to the calls below and come back with their answers; a part whose
/// answer is lost counts as spent. So the sum over the call tree never
/// exceeds what the entry was given. Not thread-safe.
class retry_budget
{
public:
    /// A budget of `total` retries; negative counts as none.
    explicit retry_budget(retry_count total);

    /// Retries that can still be spent or lent here.
    [[nodiscard]] retry_count unspent() const { return unspent_; }

    /// Takes one retry; false if none is left.
    bool spend();

    /// Lends a part, at most what is left; returns how much it was.
    retry_count lend(retry_count amount);
    /// Lends all that is left.
    retry_count lend_all() { return lend(unspent_); }
    /// Lends half, rounded up, and keeps the rest for sibling calls.
    retry_count lend_half()
    {
        return lend(retry_count((unspent_.value() + 1) / 2));
    }
    /// Takes back what a call did not use. More than `lent` is not accepted,
    /// nor a negative number.
    void give_back(retry_count returned, retry_count lent);

private:
    // Never negative.
    retry_count unspent_;
    // Sum of what was lent and not given back; bounds what may come back.
    retry_count outstanding_{0};
};

/// Settings of `retry_ratio`.
struct retry_ratio_options
{
    /// Retries allowed for each first try.
    double ratio = 0.1;
    /// Most retries that can be saved up.
    double burst = 10;
};

/// Keeps retries of one service below a share of its first tries, so that
/// retries cannot become the load. Not thread-safe.
class retry_ratio
{
public:
    explicit retry_ratio(retry_ratio_options options = {});

    /// Counts a first try.
    void on_first_try();
    /// Takes one retry; false if the ratio is exhausted.
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

/// Wait before retry number `attempt` (1 for the first retry), drawn evenly
/// from zero to an exponentially growing bound. `random` is any 64 random
/// bits.
milliseconds retry_backoff(int attempt, std::uint64_t random,
                           backoff_options options = {});

} // namespace pollenhall
