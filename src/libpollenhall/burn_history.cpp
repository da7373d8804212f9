// Implements the history of outcomes, and the overload episodes and burn rates
// derived from it.

#include <pollenhall/burn_history.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

constexpr std::array<std::string_view, request_end_count> end_names{
    "in_time",           "late",    "failed",      "shed",        "deadline",
    "retries_exhausted", "unknown", "quarantined", "unavailable", "not_judged"};
constexpr std::array<std::string_view, all_burn_windows.size()> window_names{
    "5m", "30m", "1h", "6h"};
constexpr std::array<int, all_burn_windows.size()> window_minutes{5, 30, 60,
                                                                  360};
constexpr std::int64_t ms_per_second = 1'000;
constexpr std::int64_t ms_per_minute = 60'000;
// Number of consecutive seconds in which requests must complete in time for
// the load to count as recovered. Also the longest time between two seconds
// with shedding of the same episode.
constexpr std::int64_t recovery_window_s = 5;
constexpr double recovered_ratio = 0.99;
// Lower bound of the error ratio that an objective allows, so that an
// objective of 100% does not lead to a division by zero.
constexpr double min_error_ratio = 1e-6;

std::int64_t minute_of(wall_time now)
{
    return now.time_since_epoch().count() / ms_per_minute;
}

std::int64_t second_of(wall_time now)
{
    return now.time_since_epoch().count() / ms_per_second;
}

request_end classify_refusal(std::optional<refusal> reason)
{
    if (!reason)
        return request_end::unavailable;
    switch (*reason)
    {
    case refusal::shed:
    case refusal::queue_timeout:
    case refusal::upstream_refused:
        return request_end::shed;
    case refusal::deadline:
        return request_end::deadline;
    case refusal::retries_exhausted:
        return request_end::retries_exhausted;
    case refusal::quarantined:
        return request_end::quarantined;
    case refusal::cancelled:
    case refusal::key_refused:
        return request_end::not_judged;
    case refusal::draining:
    case refusal::no_upstream:
    case refusal::home_unreachable:
    case refusal::stopping:
    case refusal::home_gone:
    case refusal::home_not_ready:
        break;
    }
    return request_end::unavailable;
}

} // namespace

std::string_view to_string(request_end value)
{
    return end_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(burn_window window)
{
    return window_names.at(static_cast<std::size_t>(window));
}

int minutes_of(burn_window window)
{
    return window_minutes.at(static_cast<std::size_t>(window));
}

request_end classify_end(outcome what, std::optional<refusal> reason,
                         int status, bool in_time)
{
    constexpr int first_failure_status = 500;
    switch (what)
    {
    case outcome::completed:
        if (!in_time)
            return request_end::late;
        return status >= first_failure_status ? request_end::failed
                                              : request_end::in_time;
    case outcome::not_run:
        return classify_refusal(reason);
    case outcome::unknown:
        break;
    }
    return request_end::unknown;
}

end_counts& end_counts::operator+=(end_counts const& other)
{
    for (std::size_t i = 0; i < by_end.size(); ++i)
        by_end[i] += other.by_end[i];
    return *this;
}

std::int64_t end_counts::judged() const
{
    std::int64_t sum = 0;
    for (auto const count : by_end)
        sum += count;
    return sum - count(request_end::not_judged);
}

std::int64_t end_counts::bad() const
{
    return judged() - count(request_end::in_time);
}

void burn_history::note(burn_key const& key, importance level, request_end end,
                        wall_time now)
{
    auto found = rows_.find(key);
    if (found == rows_.end())
    {
        if (rows_.size() >= options_.max_rows)
        {
            ++left_out_;
            return;
        }
        found = rows_.emplace(key, row{}).first;
    }
    auto& item = found->second;
    item.level = level;
    auto& minutes = item.minutes;
    // If the wall clock was set back, the outcome is added to the newest
    // bucket.
    if (minutes.empty() || minutes.back().minute < minute_of(now))
        minutes.push_back({.minute = minute_of(now), .by_end = {}});
    ++minutes.back().by_end[static_cast<std::size_t>(end)];
    auto const oldest = minute_of(now) - minutes_of(burn_window::hours_6);
    while (minutes.front().minute <= oldest)
        minutes.pop_front();
    if (key.place == measurement_point::entry)
        record_second(key.member, end, now);
}

void burn_history::record_second(member_name const& member, request_end end,
                                 wall_time now)
{
    if (end == request_end::not_judged)
        return;
    auto& list = seconds_[member];
    if (list.empty() || list.back().second < second_of(now))
        list.push_back({.second = second_of(now)});
    auto& last = list.back();
    ++last.ended;
    last.in_time += end == request_end::in_time ? 1 : 0;
    last.shed += end == request_end::shed ? 1 : 0;
    auto const oldest = second_of(now) - options_.second_retention.count();
    while (list.front().second <= oldest)
        list.pop_front();
}

std::map<burn_key, window_counts>
burn_history::windows(member_name const& member, wall_time now) const
{
    std::map<burn_key, window_counts> result;
    for (auto const& [key, item] : rows_)
    {
        if (key.member != member)
            continue;
        auto& counts = result[key];
        for (auto const& bucket : item.minutes)
        {
            auto const age = minute_of(now) - bucket.minute;
            for (auto const window : all_burn_windows)
            {
                if (age >= minutes_of(window))
                    continue;
                auto& sum = counts[static_cast<std::size_t>(window)];
                for (std::size_t i = 0; i < request_end_count; ++i)
                    sum.by_end[i] += bucket.by_end[i];
            }
        }
    }
    return result;
}

std::vector<second_counts> burn_history::seconds_of(member_name const& member,
                                                    wall_time now) const
{
    std::vector<second_counts> result;
    auto const found = seconds_.find(member);
    if (found == seconds_.end())
        return result;
    auto const oldest = second_of(now) - options_.second_retention.count();
    for (auto const& item : found->second)
    {
        if (item.second > oldest)
            result.push_back(item);
    }
    return result;
}

std::map<std::int64_t, importance>
burn_history::lowest_shed_by_minute(std::int64_t from_minute) const
{
    std::map<std::int64_t, importance> lowest;
    for (auto const& [key, item] : rows_)
    {
        if (key.place != measurement_point::entry)
            continue;
        for (auto const& bucket : item.minutes)
        {
            auto const shed =
                bucket.by_end[static_cast<std::size_t>(request_end::shed)];
            if (shed == 0 || bucket.minute < from_minute)
                continue;
            auto const position = lowest.try_emplace(bucket.minute, item.level);
            position.first->second =
                std::min(position.first->second, item.level);
        }
    }
    return lowest;
}

std::int64_t burn_history::kept_while_shedding(member_name const& member,
                                               wall_time now) const
{
    auto const from = minute_of(now) - minutes_of(burn_window::hours_6) + 1;
    auto const lowest = lowest_shed_by_minute(from);
    std::int64_t kept = 0;
    for (auto const& [key, item] : rows_)
    {
        if (key.member != member || key.place != measurement_point::entry ||
            item.level < importance::high)
            continue;
        for (auto const& bucket : item.minutes)
        {
            auto const shed = lowest.find(bucket.minute);
            if (shed != lowest.end() && shed->second < item.level)
                kept +=
                    bucket
                        .by_end[static_cast<std::size_t>(request_end::in_time)];
        }
    }
    return kept;
}

burn_summary& burn_summary::operator+=(burn_summary const& other)
{
    for (auto const& [key, windows] : other.rows)
    {
        auto& sums = rows[key];
        for (std::size_t i = 0; i < sums.size(); ++i)
            sums[i] += windows[i];
    }
    std::map<std::int64_t, second_counts> merged;
    auto const add = [&](second_counts const& item)
    {
        auto& sum = merged[item.second];
        sum.second = item.second;
        sum.ended += item.ended;
        sum.in_time += item.in_time;
        sum.shed += item.shed;
    };
    std::for_each(seconds.begin(), seconds.end(), add);
    std::for_each(other.seconds.begin(), other.seconds.end(), add);
    seconds.clear();
    seconds.reserve(merged.size());
    for (auto const& [second, item] : merged)
        seconds.push_back(item);
    kept_while_shedding += other.kept_while_shedding;
    left_out += other.left_out;
    return *this;
}

namespace
{

// Returns the seconds from `end` to the start of the first recovery window in
// which enough requests completed in time; empty if there is none.
std::optional<std::int64_t>
find_recovery(std::vector<second_counts> const& seconds, std::int64_t end)
{
    auto const last = seconds.back().second;
    for (auto from = end + 1; from + recovery_window_s - 1 <= last; ++from)
    {
        std::int64_t ended = 0;
        std::int64_t in_time = 0;
        for (auto const& item : seconds)
        {
            if (item.second < from || item.second >= from + recovery_window_s)
                continue;
            ended += item.ended;
            in_time += item.in_time;
        }
        if (static_cast<double>(in_time) >=
            recovered_ratio * static_cast<double>(ended))
            return from - end - 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<overload_episode>
find_episodes(std::vector<second_counts> const& seconds)
{
    std::vector<overload_episode> episodes;
    for (auto const& item : seconds)
    {
        if (item.shed == 0)
            continue;
        bool const continues_episode =
            !episodes.empty() &&
            item.second <= episodes.back().end_second + recovery_window_s;
        if (continues_episode)
            episodes.back().end_second = item.second;
        else
            episodes.push_back({.start_second = item.second,
                                .end_second = item.second,
                                .recovery_s = std::nullopt});
    }
    for (auto& episode : episodes)
        episode.recovery_s = find_recovery(seconds, episode.end_second);
    return episodes;
}

double burn_rate(end_counts const& counts, double objective)
{
    if (counts.judged() == 0)
        return 0;
    auto const allowed = std::max(1 - objective, min_error_ratio);
    return static_cast<double>(counts.bad()) /
           static_cast<double>(counts.judged()) / allowed;
}

double budget_left(end_counts const& counts, double objective)
{
    return 1 - burn_rate(counts, objective);
}

} // namespace pollenhall
