// What follows an attempt, and the allowance for repeats.

#include <pollenhall/mesh/attempt_policy.hpp>

#include <pollenhall/trace_context.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace pollenhall::mesh
{
namespace
{

// Resolution of a window: a repeat counts for at most this much longer than
// the window.
constexpr milliseconds slot_time{500};

} // namespace

std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 6> names{
        "answered", "failed", "not_offered", "not_run", "unknown", "timed_out"};
    return names.at(static_cast<std::size_t>(end));
}

retry_allowance::retry_allowance(retry_allowance_options options)
    : options_(options)
{
}

void retry_allowance::set_nodes(std::size_t nodes)
{
    nodes_ = std::max<std::size_t>(1, nodes);
}

std::size_t retry_allowance::slots() const
{
    return static_cast<std::size_t>(options_.window / slot_time);
}

retry_allowance::history& retry_allowance::advance(service_name const& service,
                                                   mono_time now)
{
    auto& counts = counts_[service];
    auto const slot = now.time_since_epoch() / slot_time;
    auto const kept = 2 * slots();
    if (counts.first.empty())
    {
        counts.first.assign(kept, 0);
        counts.repeats.assign(kept, 0);
        counts.slot = slot;
    }
    auto const passed = std::min<std::int64_t>(slot - counts.slot,
                                               static_cast<std::int64_t>(kept));
    for (std::int64_t i = 0; i < passed; ++i)
    {
        counts.first.erase(counts.first.begin());
        counts.first.push_back(0);
        counts.repeats.erase(counts.repeats.begin());
        counts.repeats.push_back(0);
    }
    counts.slot = std::max(counts.slot, slot);
    return counts;
}

bool retry_allowance::has_room(history const& counts, double share) const
{
    // Every window that holds this moment must be within the allowance, also
    // if no request comes any more. A window is compared with the first
    // attempts in it, in the one before it, and in the one between.
    auto const size = static_cast<std::ptrdiff_t>(slots());
    auto const sum = [](std::vector<int> const& values, std::ptrdiff_t begin,
                        std::ptrdiff_t end)
    {
        auto const last = static_cast<std::ptrdiff_t>(values.size());
        begin = std::clamp<std::ptrdiff_t>(begin, 0, last);
        end = std::clamp<std::ptrdiff_t>(end, begin, last);
        return std::accumulate(values.begin() + begin, values.begin() + end, 0);
    };
    for (std::ptrdiff_t shift = 0; shift < size; ++shift)
    {
        auto const end = 2 * size + shift;
        auto const most =
            std::max({sum(counts.first, end - size, end),
                      sum(counts.first, end - size - size / 2, end - size / 2),
                      sum(counts.first, end - 2 * size, end - size)});
        auto const allowed = options_.use_share * share *
                             (options_.ratio * most +
                              options_.slack / static_cast<double>(nodes_));
        if (sum(counts.repeats, end - size, end) + 1 > allowed)
            return false;
    }
    return true;
}

bool retry_allowance::has_pace(history const& counts, double share) const
{
    auto const size = static_cast<std::ptrdiff_t>(slots());
    auto const most = std::max(
        std::accumulate(counts.first.begin(), counts.first.end() - size, 0),
        std::accumulate(counts.first.end() - size, counts.first.end(), 0));
    auto const last_second = std::accumulate(
        counts.repeats.end() - seconds{1} / slot_time, counts.repeats.end(), 0);
    return last_second + 1 <= share * (options_.use_share * options_.ratio *
                                           most * options_.second_share +
                                       options_.second_slack);
}

void retry_allowance::on_first_attempt(service_name const& service,
                                       mono_time now)
{
    ++advance(service, now).first.back();
}

double retry_allowance::share_of(call_rank rank) const
{
    double const most = is_urgent(rank) ? 1.0 : 1.0 - options_.urgent_share;
    return most * (1.0 - options_.cohort_share * rank.cohort / cohort_count);
}

bool retry_allowance::spend(service_name const& service, call_rank rank,
                            mono_time now)
{
    auto& counts = advance(service, now);
    auto const share = share_of(rank);
    if (!has_pace(counts, share) || !has_room(counts, share))
        return false;
    ++counts.repeats.back();
    return true;
}

void retry_allowance::count(service_name const& service, mono_time now)
{
    ++advance(service, now).repeats.back();
}

attempt_policy::attempt_policy(attempt_limits limits) : limits_(limits) {}

void attempt_policy::note(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_offered:
        ++not_offered_;
        break;
    case attempt_end::not_run:
        ++refused_;
        break;
    case attempt_end::answered:
        ++run_;
        break;
    case attempt_end::failed:
    case attempt_end::unknown:
    case attempt_end::timed_out:
        ++run_;
        may_have_run_ = true;
        break;
    }
}

bool attempt_policy::wants_repeat(attempt_end end, bool elsewhere) const
{
    if (may_have_run_ && !limits_.idempotent)
        return false;
    switch (end)
    {
    case attempt_end::answered:
    case attempt_end::timed_out:
        return false;
    case attempt_end::not_offered:
        return elsewhere && not_offered_ < limits_.placements;
    case attempt_end::not_run:
        return elsewhere && refused_ < limits_.refusals &&
               run_ < limits_.attempts;
    case attempt_end::failed:
    case attempt_end::unknown:
        return elsewhere && run_ < limits_.attempts;
    }
    return false;
}

next_step attempt_policy::final_step(attempt_end end) const
{
    if (end == attempt_end::answered || end == attempt_end::failed)
        return next_step::deliver;
    if (end == attempt_end::timed_out)
        return next_step::time_out;
    return may_have_run_ ? next_step::give_up : next_step::refuse;
}

} // namespace pollenhall::mesh
