// Orders calls under overload. An external request needs four or eight calls
// to one fast service. If that service completes seven of ten calls and picks
// each call independently, only a quarter of the requests complete. All calls
// of one request therefore share a cohort at every node, so that rejected calls
// concentrate on few requests.

#pragma once

#include <compare>
#include <string_view>

namespace pollenhall::mesh
{

/// Priority of a call at gates and in the retry allowance; the lowest rank is
/// served first.
struct call_rank
{
    // Derived from the priority of the external request by the functions below.
    int level = 0;
    // Same for a request and all calls that it causes; 0 to `cohort_count` - 1.
    int cohort = 0;

    auto operator<=>(call_rank const&) const = default;
};

/// Rank of an external request, from the priority of its route.
call_rank rank_of_entry(int priority, std::string_view request_id);
/// Rank of a call that is made while a request of rank `parent` runs. Work
/// already in progress goes before new requests of the same priority.
call_rank rank_of_inner_call(call_rank parent);
/// Whether a call belongs to a request with the highest priority.
bool is_urgent(call_rank rank);

} // namespace pollenhall::mesh
