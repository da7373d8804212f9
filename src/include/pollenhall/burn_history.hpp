// How whole requests ended lately, kept on the node that took them, and what
// the upstream beside the node ran and refused. The reports on service-level
// burn sum these over all nodes.
//
// Time is cut into slots by the wall clock, so that the slots of different
// nodes can be added. A slot that is over never changes.

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

/// How a whole request ended, as an objective judges it.
enum class request_end
{
    /// The only good one.
    in_time,
    late,
    /// The upstream answered in time that it failed: HTTP status 500 or more.
    failed,
    shed,
    deadline,
    retries_exhausted,
    unknown,
    quarantined,
    /// No upstream, or the key's home, could take it.
    unavailable,
    /// The caller gave up or sent an unacceptable key; not judged.
    not_judged
};

/// Number of ways to end.
inline constexpr std::size_t request_end_count = 10;

/// The name used in reports, such as `retries_exhausted`.
std::string_view to_string(request_end value);

/// Judges an end. `reason` is the refusal, if there was one; `status` is the
/// HTTP status of a completed answer.
request_end judge_end(outcome what, std::optional<refusal> reason, int status,
                      bool in_time);

/// Requests by the way they ended.
struct end_counts
{
    std::array<std::int64_t, request_end_count> by_end{};

    [[nodiscard]] std::int64_t count(request_end end) const
    {
        return by_end[static_cast<std::size_t>(end)];
    }
    end_counts& operator+=(end_counts const& other);
    /// Requests that the objective judges.
    [[nodiscard]] std::int64_t judged() const;
    /// Judged requests that did not end in time.
    [[nodiscard]] std::int64_t bad() const;

    bool operator==(end_counts const&) const = default;
};

/// Windows that reports look at.
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

/// Length of a window in whole minutes.
int minutes_of(burn_window window);
/// The name used in reports, such as `30m`.
std::string_view to_string(burn_window window);

/// Counts in each of the windows, in their order.
using window_counts = std::array<end_counts, all_burn_windows.size()>;

/// One second of a member's requests.
struct load_second
{
    /// Seconds since the Unix epoch.
    std::int64_t second = 0;
    std::int64_t ended = 0;
    std::int64_t in_time = 0;
    std::int64_t shed = 0;

    bool operator==(load_second const&) const = default;
};

/// Whether a row counts whole requests at their entry or calls at the
/// upstream beside the node.
enum class burn_place
{
    entry,
    upstream
};

/// Key of a row.
struct burn_key
{
    member_name member;
    kind_ref kind;
    burn_place place = burn_place::entry;

    auto operator<=>(burn_key const&) const = default;
};

/// Settings of `burn_history`.
struct burn_history_options
{
    /// Most rows; ends of further ones are counted as left out.
    std::size_t max_rows = 512;
    /// Time for which single seconds are kept.
    seconds kept_seconds{600};
};

/// The history of one node. Not thread-safe.
class burn_history
{
public:
    explicit burn_history(burn_history_options options = {}) : options_(options)
    {
    }

    /// Notes an end. `level` is the importance of the kind.
    void note(burn_key const& key, importance level, request_end end,
              wall_time now);

    /// Counts of each row of a member in the windows that end now.
    [[nodiscard]] std::map<burn_key, window_counts>
    windows(member_name const& member, wall_time now) const;
    /// The member's single seconds, oldest first; seconds in which nothing
    /// ended are left out.
    [[nodiscard]] std::vector<load_second> seconds_of(member_name const& member,
                                                      wall_time now) const;
    /// The member's critical and high requests that completed in time in
    /// minutes in which this node shed any request of a lower class, over the
    /// longest window.
    [[nodiscard]] std::int64_t kept_while_shedding(member_name const& member,
                                                   wall_time now) const;
    /// Ends that were not counted because there were too many rows.
    [[nodiscard]] std::int64_t left_out() const { return left_out_; }

private:
    struct minute_slot
    {
        std::int64_t minute = 0;
        std::array<std::int32_t, request_end_count> by_end{};
    };
    struct row
    {
        importance level = importance::normal;
        // In order of time, one for each minute in which something ended.
        std::deque<minute_slot> minutes;
    };

    void note_second(member_name const& member, request_end end, wall_time now);
    [[nodiscard]] std::map<std::int64_t, importance>
    lowest_shed_by_minute(std::int64_t from_minute) const;

    burn_history_options options_;
    std::map<burn_key, row> rows_;
    std::map<member_name, std::deque<load_second>> seconds_;
    std::int64_t left_out_ = 0;
};

/// What one node tells of a member, or the sum over several.
struct burn_summary
{
    std::map<burn_key, window_counts> rows;
    /// In order of time.
    std::vector<load_second> seconds;
    std::int64_t kept_while_shedding = 0;
    std::int64_t left_out = 0;

    burn_summary& operator+=(burn_summary const& other);
};

/// A time in which requests were shed, and how long the return took.
struct overload_episode
{
    std::int64_t start_second = 0;
    /// The last second in which anything was shed.
    std::int64_t end_second = 0;
    /// Seconds from the end until 99% of requests ended in time for five
    /// seconds running; empty if that has not been seen yet.
    std::optional<std::int64_t> recovery_s;

    bool operator==(overload_episode const&) const = default;
};

/// Finds the episodes in seconds that are in order of time. Shedding that
/// pauses for up to five seconds is one episode.
std::vector<overload_episode>
find_episodes(std::vector<load_second> const& seconds);

/// How fast an error budget is used: 1 uses it up exactly over the period of
/// the objective. Zero if nothing was judged.
double burn_rate(end_counts const& counts, double objective);

/// Part of the error budget of the counted time that is left; negative if it
/// is overspent.
double budget_left(end_counts const& counts, double objective);

} // namespace pollenhall
