// Counts behind a member's board. Each node counts what it took from callers
// and what its upstream ran; the sums over all nodes are the board.

#pragma once

#include <pollenhall/call_plan.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace pollenhall
{

/// Counts of one kind since the node started.
struct board_counts
{
    /// Calls taken from callers outside, one for each whole request.
    std::int64_t offered = 0;
    std::int64_t completed_in_time = 0;
    std::int64_t completed_late = 0;
    std::int64_t not_run = 0;
    std::int64_t unknown = 0;
    /// Tries beyond the first, on this node.
    std::int64_t retries = 0;
    /// The part of `not_run` that was shed.
    std::int64_t shed = 0;
    /// Runs on the upstream beside this node.
    std::int64_t upstream_runs = 0;
    /// The part of `upstream_runs` for requests of other members.
    std::int64_t runs_for_others = 0;
    /// Time of those runs, ms.
    std::int64_t lent_ms = 0;
    /// Runs of the member's requests on other members' upstreams.
    std::int64_t runs_borrowed = 0;
    /// Time of those runs, ms.
    std::int64_t borrowed_ms = 0;

    board_counts& operator+=(board_counts const& other);
    bool operator==(board_counts const&) const = default;
};

/// Key of a row of the board.
struct board_key
{
    member_name member;
    kind_ref kind;

    auto operator<=>(board_key const&) const = default;
};

/// Counts of one node, or their sum over several. Not thread-safe.
class board
{
public:
    /// The counts of a row, which is made if it is missing.
    board_counts& row(board_key const& key) { return rows_[key]; }
    [[nodiscard]] std::map<board_key, board_counts> const& rows() const
    {
        return rows_;
    }
    /// Adds all rows of `other`.
    void add(board const& other);

private:
    std::map<board_key, board_counts> rows_;
};

/// Counts the end of a whole request.
void count_end(board_counts& counts, outcome what,
               std::optional<refusal> reason, bool in_time);

} // namespace pollenhall
