// What follows an attempt, and the allowance for repeats.

#include <pollenhall/mesh/attempt_policy.hpp>

#include <algorithm>
#include <array>

namespace pollenhall::mesh
{

std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 5> names{
        "answered", "not_offered", "not_run", "unknown", "timed_out"};
    return names.at(static_cast<std::size_t>(end));
}

retry_allowance::retry_allowance(retry_allowance_options options)
    : options_(options)
{
}

double retry_allowance::slack_share() const
{
    return options_.slack * options_.use_share / static_cast<double>(nodes_);
}

void retry_allowance::set_nodes(std::size_t nodes)
{
    nodes_ = std::max<std::size_t>(1, nodes);
}

void retry_allowance::on_first_attempt(service_name const& service)
{
    auto const found = tokens_.try_emplace(service, slack_share()).first;
    // Of many nodes each has less than one repeat of the slack, but may save
    // up one from the ratio.
    found->second =
        std::min(std::max(1.0, slack_share()),
                 found->second + options_.ratio * options_.use_share);
}

bool retry_allowance::spend(service_name const& service)
{
    auto const found = tokens_.find(service);
    if (found == tokens_.end() || found->second < 1)
        return false;
    found->second -= 1;
    return true;
}

attempt_policy::attempt_policy(attempt_limits limits) : limits_(limits) {}

void attempt_policy::note(attempt_end end)
{
    if (end == attempt_end::not_offered)
        ++refused_;
    else
        ++offered_;
    if (end == attempt_end::unknown || end == attempt_end::timed_out)
        may_have_run_ = true;
}

bool attempt_policy::wants_repeat(attempt_end end, bool elsewhere) const
{
    switch (end)
    {
    case attempt_end::answered:
    case attempt_end::timed_out:
        return false;
    case attempt_end::not_offered:
        return elsewhere && refused_ < limits_.placements;
    case attempt_end::not_run:
        return elsewhere && offered_ < limits_.attempts;
    case attempt_end::unknown:
        return limits_.idempotent && elsewhere && offered_ < limits_.attempts;
    }
    return false;
}

next_step attempt_policy::final_step(attempt_end end) const
{
    if (end == attempt_end::answered)
        return next_step::deliver;
    if (end == attempt_end::timed_out)
        return next_step::time_out;
    return may_have_run_ ? next_step::give_up : next_step::refuse;
}

} // namespace pollenhall::mesh
