// Implements the retry decisions for one call.

#include <pollenhall/call_plan.hpp>

#include <algorithm>
#include <array>

namespace pollenhall
{
namespace
{
constexpr std::array<std::string_view, 3> outcome_names{"completed", "not_run",
                                                        "unknown"};
} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names.at(static_cast<std::size_t>(value) - 1);
}

std::optional<outcome> parse_outcome(std::string_view name)
{
    auto const found =
        std::find(outcome_names.begin(), outcome_names.end(), name);
    if (found == outcome_names.end())
        return std::nullopt;
    return static_cast<outcome>(found - outcome_names.begin() + 1);
}

bool may_succeed_elsewhere(refusal reason)
{
    switch (reason)
    {
    case refusal::shed:
    case refusal::queue_timeout:
    case refusal::draining:
    case refusal::no_upstream:
    case refusal::stopping:
    case refusal::upstream_refused:
        return true;
    case refusal::deadline:
    case refusal::cancelled:
    case refusal::quarantined:
    case refusal::retries_exhausted:
    case refusal::home_unreachable:
    case refusal::home_gone:
    case refusal::home_not_ready:
    case refusal::key_refused:
        break;
    }
    return false;
}

call_plan::call_plan(call_plan_options options, retry_budget budget)
    : options_(options), budget_(budget)
{
}

step_attempt call_plan::start()
{
    return resume();
}

step_attempt call_plan::resume()
{
    ++attempts_;
    lent_ = lend();
    return {.lent = lent_};
}

retry_count call_plan::lend()
{
    switch (options_.lending)
    {
    case retry_lending::all:
        return budget_.lend_all();
    case retry_lending::half:
        return budget_.lend(retry_count(budget_.unspent().value() / 2));
    case retry_lending::none:
        break;
    }
    return retry_count(0);
}

bool call_plan::allows_retry(call_attempt_result const& result) const
{
    switch (result.what)
    {
    case outcome::completed:
        return result.worth_retry && options_.repeatable;
    case outcome::not_run:
        return options_.may_use_other_upstream && result.reason &&
               may_succeed_elsewhere(*result.reason);
    case outcome::unknown:
        return options_.repeatable && unknown_attempts_ < max_unknown_attempts;
    }
    return false;
}

bool call_plan::allows_asking_again(call_attempt_result const& result) const
{
    return options_.targets_key_home &&
           (result.reason == refusal::home_unreachable ||
            result.reason == refusal::home_not_ready);
}

call_step call_plan::next_step(call_attempt_result const& result,
                               retry_ratio& ratio, mono_time now,
                               std::uint64_t random)
{
    budget_.give_back(result.returned, lent_);
    if (result.what != outcome::not_run)
        may_have_run_ = true;
    if (result.what == outcome::unknown)
        ++unknown_attempts_;
    // A home that is permanently gone did not run earlier attempts either.
    if (result.reason == refusal::home_gone)
        may_have_run_ = false;
    if (allows_asking_again(result))
    {
        auto const delay = retry_backoff(attempts_, random, options_.backoff);
        if (now + delay >= options_.deadline)
            return step_answer{};
        return step_wait{.time = delay};
    }
    if (!allows_retry(result))
        return step_answer{};
    auto const delay = std::max(
        result.retry_after, retry_backoff(attempts_, random, options_.backoff));
    if (now + delay >= options_.deadline)
        return step_answer{};
    if (budget_.unspent().value() == 0 || !ratio.spend())
        return step_answer{};
    budget_.spend();
    return step_wait{.time = delay};
}

} // namespace pollenhall
