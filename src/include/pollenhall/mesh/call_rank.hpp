// Order of calls under pressure. Load pattern: a request from outside needs
// four or eight calls of one short service; where that service completes seven
// of ten calls and each call is picked on its own, a quarter of the requests
// completes. All calls of one request share a cohort, at every node, so that
// the requests that lose a call are mostly those that lost one already.

#pragma once

#include <compare>
#include <string_view>

namespace pollenhall::mesh
{

/// Place of a call at gates and in the allowance of repeats; the lowest goes
/// first.
struct call_rank
{
    // From the importance of the request from outside; see below.
    int level = 0;
    // The same for a request and all calls that it leads to; below
    // `cohort_count`.
    int cohort = 0;

    auto operator<=>(call_rank const&) const = default;
};

/// Rank of a request from outside, by its route's priority.
call_rank rank_of_entry(int priority, std::string_view request_id);
/// Rank of a call that is made while a request of rank `parent` runs: work
/// that was begun goes before new work of the same priority.
call_rank rank_of_inner_call(call_rank parent);
/// Whether a call belongs to a request of the highest priority.
bool is_urgent(call_rank rank);

} // namespace pollenhall::mesh
