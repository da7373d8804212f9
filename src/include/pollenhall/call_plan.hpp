// Decides, for one call on the node that took it, what to do after each try:
// try again elsewhere, wait, or answer. Also what the caller is told.

#pragma once

#include <pollenhall/dispatch_queue.hpp>
#include <pollenhall/retry_budget.hpp>

#include <optional>
#include <set>
#include <variant>

namespace pollenhall
{

/// What is known about whether the work of a call ran.
enum class outcome
{
    /// It ran and this is its whole answer.
    completed = 1,
    /// It certainly did not run.
    not_run = 2,
    /// It may have run, and there is no answer.
    unknown = 3
};

/// The value of the header `Pollenhall-Outcome`.
std::string_view to_string(outcome value);
/// The outcome of that name; empty if there is none.
std::optional<outcome> parse_outcome(std::string_view name);

/// How a try ended.
struct try_result
{
    outcome what = outcome::unknown;
    /// Why it was refused; only for `not_run`.
    std::optional<refusal> reason;
    /// Whether another try could end better: a failed answer of a
    /// repeatable kind counts as completed, but is worth a retry.
    bool worth_retry = false;
    /// Part of the lent retries that came back.
    retry_count returned{0};
    /// Earliest time for another try, counted from now.
    milliseconds retry_after{0};
};

/// Send the call to an upstream, with this many retries lent.
struct step_try
{
    retry_count lent;
};
/// Ask for the next step again after this time.
struct step_wait
{
    milliseconds time{0};
};
/// Give the caller the result of the last try.
struct step_answer
{
};
using call_step = std::variant<step_try, step_wait, step_answer>;

/// How much of a call's retries goes along with each try.
enum class retry_lending
{
    /// Everything, for a call that is never tried again from here.
    all,
    /// Half, rounded down; the rest is there if the try is lost.
    half,
    /// Nothing, for a call below which no others are made.
    none
};

/// Settings of `call_plan`.
struct call_plan_options
{
    bool repeatable = true;
    /// Whether a call that was refused may be offered to another upstream.
    bool may_move = true;
    /// Whether tries go to the home of a key. It knows keys that come back,
    /// so it may be asked again without spending a retry.
    bool asks_home = false;
    retry_lending lending = retry_lending::half;
    mono_time deadline{};
    backoff_options backoff{};
};

/// Tries of one call that may end unknown. A request that crashes upstreams is
/// refused after two crashes, but a third try can be faster than the news of
/// them.
inline constexpr int most_unknown_tries = 2;

/// The tries of one call. Not thread-safe.
class call_plan
{
public:
    /// `budget` is the call's share of the request's retries.
    call_plan(call_plan_options options, retry_budget budget);

    /// The first step.
    step_try start();
    /// The step after a try; `ratio` is the service's, `random` any 64 bits.
    call_step after(try_result const& result, retry_ratio& ratio, mono_time now,
                    std::uint64_t random);
    /// The step after a wait.
    step_try resume();

    /// Tries started so far.
    [[nodiscard]] int tries() const { return tries_; }
    /// Whether any try may have run.
    [[nodiscard]] bool may_have_run() const { return may_have_run_; }
    /// Retries to return to whoever lent them.
    [[nodiscard]] retry_count unspent() const { return budget_.unspent(); }

private:
    retry_count lend();
    [[nodiscard]] bool allows_retry(try_result const& result) const;
    [[nodiscard]] bool allows_asking_again(try_result const& result) const;

    call_plan_options options_;
    retry_budget budget_;
    retry_count lent_{0};
    int tries_ = 0;
    // Tries whose outcome is not known.
    int unknown_tries_ = 0;
    bool may_have_run_ = false;
};

/// Whether a refusal for this reason may end better at another upstream.
bool is_movable(refusal reason);

} // namespace pollenhall
