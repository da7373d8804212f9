// Retry decisions for one call on the node that accepted it: after each
// attempt, whether to retry it and when, or to answer the caller. Also tracks
// whether the call may have run.

#pragma once

#include <pollenhall/dispatch_queue.hpp>
#include <pollenhall/retry_budget.hpp>

#include <optional>
#include <set>
#include <variant>

namespace pollenhall
{

/// Whether a call ran, as far as this is known.
enum class outcome
{
    /// It ran, and the complete answer was received.
    completed = 1,
    /// It certainly did not run.
    not_run = 2,
    /// It may have run, but no complete answer was received.
    unknown = 3
};

/// Returns the value of the header `Pollenhall-Outcome`.
std::string_view to_string(outcome value);
/// Returns the outcome with that name, or an empty value if there is none.
std::optional<outcome> parse_outcome(std::string_view name);

/// Result of one attempt.
struct call_attempt_result
{
    outcome what = outcome::unknown;
    /// Why it was refused. Set for `not_run`, and to `home_unreachable` if the
    /// home of a key did not answer and the outcome is unknown.
    std::optional<refusal> reason;
    /// Whether another attempt may succeed. Set if the upstream answered with
    /// an error: the call counts as completed, but is retried if it is
    /// repeatable.
    bool worth_retry = false;
    /// Number of lent retries that were returned unspent.
    retry_count returned{0};
    /// Shortest delay before another attempt.
    milliseconds retry_after{0};
};

/// Send the call to an upstream and lend it this many retries.
struct step_attempt
{
    retry_count lent;
};
/// Wait for this time, then continue with `call_plan::resume`.
struct step_wait
{
    milliseconds time{0};
};
/// Answer the caller with the result of the last attempt.
struct step_answer
{
};
using call_step = std::variant<step_attempt, step_wait, step_answer>;

/// How many of a call's unspent retries are lent to each attempt.
enum class retry_lending
{
    /// All, for a call that this node never retries.
    all,
    /// Half, rounded down; the rest is left if the attempt is lost.
    half,
    /// None, for a call that makes no nested calls.
    none
};

/// Settings of `call_plan`.
struct call_plan_options
{
    bool repeatable = true;
    /// Whether a refused call may be sent to another upstream.
    bool may_use_other_upstream = true;
    /// Whether attempts go to the home of an idempotency key. The home
    /// recognizes a repeated key, so it may be asked again without spending a
    /// retry.
    bool targets_key_home = false;
    retry_lending lending = retry_lending::half;
    mono_time deadline{};
    backoff_options backoff{};
};

/// Limit on attempts of one call whose outcome is unknown. A request that
/// crashes upstreams is refused after two crashes, but a third attempt could
/// start before the suspicions have reached this node.
inline constexpr int max_unknown_attempts = 2;

/// Decides on the attempts of one call. Not thread-safe.
class call_plan
{
public:
    /// `budget` holds the retries that the request's budget grants this call.
    call_plan(call_plan_options options, retry_budget budget);

    /// Returns the first step.
    step_attempt start();
    /// Returns the step after an attempt. `ratio` is the retry ratio of the
    /// service, `random` any 64 random bits.
    call_step next_step(call_attempt_result const& result, retry_ratio& ratio,
                        mono_time now, std::uint64_t random);
    /// Returns the step after a wait.
    step_attempt resume();

    /// Returns the number of attempts started so far.
    [[nodiscard]] int attempts() const { return attempts_; }
    /// Returns whether any attempt may have run.
    [[nodiscard]] bool may_have_run() const { return may_have_run_; }
    /// Returns the unspent retries, which go back to the caller.
    [[nodiscard]] retry_count unspent() const { return budget_.unspent(); }

private:
    retry_count lend();
    [[nodiscard]] bool allows_retry(call_attempt_result const& result) const;
    [[nodiscard]] bool
    allows_asking_again(call_attempt_result const& result) const;

    call_plan_options options_;
    retry_budget budget_;
    retry_count lent_{0};
    int attempts_ = 0;
    // Attempts whose outcome is unknown.
    int unknown_attempts_ = 0;
    bool may_have_run_ = false;
};

/// Returns whether a call that was refused for this reason may succeed at
/// another upstream.
bool may_succeed_elsewhere(refusal reason);

} // namespace pollenhall
