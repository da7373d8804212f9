// Request and usage counters by member and kind. Each node counts the requests
// that it received from callers and the runs of its upstream. A member's
// report, called its board in the protocols, is the sum over all nodes.

#pragma once

#include <pollenhall/call_plan.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace pollenhall
{

/// Counters of one kind of request since the node started.
struct usage_counts
{
    /// Whole requests received from callers outside the call graph; nested
    /// calls are not counted.
    std::int64_t offered = 0;
    std::int64_t completed_in_time = 0;
    std::int64_t completed_late = 0;
    std::int64_t not_run = 0;
    std::int64_t unknown = 0;
    /// Retries that this node made, not counting first attempts.
    std::int64_t retries = 0;
    /// Requests in `not_run` that were shed under overload.
    std::int64_t shed = 0;
    /// Runs on the upstream beside this node, for any member.
    std::int64_t upstream_runs = 0;
    /// Runs in `upstream_runs` for requests of other members.
    std::int64_t runs_for_others = 0;
    /// Total duration of the runs for other members, ms.
    std::int64_t lent_ms = 0;
    /// Runs of this member's requests on upstreams of other members.
    std::int64_t runs_borrowed = 0;
    /// Total duration of the runs on upstreams of other members, ms.
    std::int64_t borrowed_ms = 0;

    usage_counts& operator+=(usage_counts const& other);
    bool operator==(usage_counts const&) const = default;
};

/// Key of a row.
struct usage_key
{
    member_name member;
    kind_ref kind;

    auto operator<=>(usage_key const&) const = default;
};

/// Counters of one node, or their sum over several nodes. Not thread-safe.
class board
{
public:
    /// Returns the counters of a row; adds the row if it is missing.
    usage_counts& row(usage_key const& key) { return rows_[key]; }
    [[nodiscard]] std::map<usage_key, usage_counts> const& rows() const
    {
        return rows_;
    }
    /// Adds the counters of `other` row by row.
    void add(board const& other);

private:
    std::map<usage_key, usage_counts> rows_;
};

/// Counts the outcome of a whole request. `reason` is the reason of a
/// rejection, if there was one.
void count_outcome(usage_counts& counts, outcome what,
                   std::optional<refusal> reason, bool in_time);

} // namespace pollenhall
