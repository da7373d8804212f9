// Recent outcomes, as input of the reports on error budget burn: of whole
// requests on the node that received them from the caller, and of calls at the
// upstream beside the node. A report sums the histories of all nodes.
//
// Outcomes are counted in buckets aligned to the wall clock, so that the
// buckets of different nodes can be added. A bucket whose time has passed
// never changes.

#pragma once

#include <pollenhall/call_plan.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Outcome of a whole request with respect to its service-level objective.
enum class request_end
{
    /// Completed within the deadline with an HTTP status below 500; the only
    /// outcome that meets the objective.
    in_time,
    late,
    /// Completed within the deadline with an HTTP status of 500 or more.
    failed,
    shed,
    deadline,
    retries_exhausted,
    unknown,
    quarantined,
    /// No upstream could accept the request, or the home of its idempotency key
    /// could not.
    unavailable,
    /// The caller cancelled the request or sent an invalid idempotency key; not
    /// counted against the objective.
    not_judged
};

/// Number of values of `request_end`.
inline constexpr std::size_t request_end_count = 10;

/// Returns the name used in reports, such as `retries_exhausted`.
std::string_view to_string(request_end value);

/// Classifies an outcome. `reason` is the reason of a rejection, if there was
/// one; `status` is the HTTP status of a completed response.
request_end classify_end(outcome what, std::optional<refusal> reason,
                         int status, bool in_time);

/// Number of requests by outcome.
struct end_counts
{
    std::array<std::int64_t, request_end_count> by_end{};

    [[nodiscard]] std::int64_t count(request_end end) const
    {
        return by_end[static_cast<std::size_t>(end)];
    }
    end_counts& operator+=(end_counts const& other);
    /// Requests that count against the objective: all but `not_judged`.
    [[nodiscard]] std::int64_t judged() const;
    /// Requests that count against the objective and did not meet it.
    [[nodiscard]] std::int64_t bad() const;

    bool operator==(end_counts const&) const = default;
};

/// Time windows of a report.
enum class burn_window
{
    minutes_5,
    minutes_30,
    hour_1,
    hours_6
};

inline constexpr std::array all_burn_windows{
    burn_window::minutes_5, burn_window::minutes_30, burn_window::hour_1,
    burn_window::hours_6};

/// Returns the length of a window in minutes.
int minutes_of(burn_window window);
/// Returns the name used in reports, such as `30m`.
std::string_view to_string(burn_window window);

/// Counts of each window, in the order of `all_burn_windows`.
using window_counts = std::array<end_counts, all_burn_windows.size()>;

/// Outcomes of a member's requests in one second.
struct second_counts
{
    /// Seconds since the Unix epoch.
    std::int64_t second = 0;
    /// Requests that ended in this second and count against the objective.
    std::int64_t ended = 0;
    std::int64_t in_time = 0;
    std::int64_t shed = 0;

    bool operator==(second_counts const&) const = default;
};

/// Where a row is measured.
enum class measurement_point
{
    /// Whole requests, on the node that received them from the caller.
    entry,
    /// Calls at the upstream beside the node.
    upstream
};

/// Key of a row.
struct burn_key
{
    member_name member;
    kind_ref kind;
    measurement_point place = measurement_point::entry;

    auto operator<=>(burn_key const&) const = default;
};

/// Settings of `burn_history`.
struct burn_history_options
{
    /// Maximum number of rows; outcomes of further rows only increase
    /// `left_out`.
    std::size_t max_rows = 512;
    /// Time for which the counts of single seconds are kept.
    seconds second_retention{600};
};

/// History of outcomes on one node. Not thread-safe.
class burn_history
{
public:
    explicit burn_history(burn_history_options options = {}) : options_(options)
    {
    }

    /// Records an outcome. `level` is the importance of the kind.
    void note(burn_key const& key, importance level, request_end end,
              wall_time now);

    /// Returns the counts of each row of a member in the windows that end at
    /// `now`.
    [[nodiscard]] std::map<burn_key, window_counts>
    windows(member_name const& member, wall_time now) const;
    /// Returns the counts of single seconds of a member, oldest first. Seconds
    /// in which no request ended are omitted.
    [[nodiscard]] std::vector<second_counts>
    seconds_of(member_name const& member, wall_time now) const;
    /// Returns the number of critical and high requests of the member that
    /// completed in time in minutes in which this node shed a request of a
    /// lower class, over the longest window.
    [[nodiscard]] std::int64_t kept_while_shedding(member_name const& member,
                                                   wall_time now) const;
    /// Returns the number of outcomes that were not counted because the history
    /// already had `max_rows` rows.
    [[nodiscard]] std::int64_t left_out() const { return left_out_; }

private:
    struct minute_bucket
    {
        std::int64_t minute = 0;
        std::array<std::int32_t, request_end_count> by_end{};
    };
    struct row
    {
        importance level = importance::normal;
        // Oldest first; one bucket for each minute in which a request or call
        // ended.
        std::deque<minute_bucket> minutes;
    };

    void record_second(member_name const& member, request_end end,
                       wall_time now);
    [[nodiscard]] std::map<std::int64_t, importance>
    lowest_shed_by_minute(std::int64_t from_minute) const;

    burn_history_options options_;
    std::map<burn_key, row> rows_;
    std::map<member_name, std::deque<second_counts>> seconds_;
    std::int64_t left_out_ = 0;
};

/// Counts of one member on one node, or their sum over several nodes.
struct burn_summary
{
    std::map<burn_key, window_counts> rows;
    /// Oldest first.
    std::vector<second_counts> seconds;
    std::int64_t kept_while_shedding = 0;
    std::int64_t left_out = 0;

    burn_summary& operator+=(burn_summary const& other);
};

/// A period in which requests were shed, and the recovery time after it.
struct overload_episode
{
    std::int64_t start_second = 0;
    /// The last second in which a request was shed.
    std::int64_t end_second = 0;
    /// Seconds from the end of the episode to the start of the first five
    /// consecutive seconds in which 99% of requests completed in time; empty
    /// if this has not been observed yet.
    std::optional<std::int64_t> recovery_s;

    bool operator==(overload_episode const&) const = default;
};

/// Finds the overload episodes in `seconds`, which must be sorted by time. A
/// new episode starts if shedding resumes more than five seconds after the
/// last second of shedding.
std::vector<overload_episode>
find_episodes(std::vector<second_counts> const& seconds);

/// Returns the rate at which the error budget is consumed: at 1 the budget is
/// used up exactly at the end of the objective's period. Zero if no request
/// counted against the objective.
double burn_rate(end_counts const& counts, double objective);

/// Returns the remaining fraction of the error budget for the period of the
/// counts; negative if the budget is exceeded.
double budget_left(end_counts const& counts, double objective);

} // namespace pollenhall
