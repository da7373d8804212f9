// Rank of a request: one number that determines the order in which requests are
// shed. The importance class decides first, then the number of completed hops
// (the work already spent on the request), then the cohort, which is the same
// at every hop.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Requests of larger ranks are shed later.
using request_rank = strong_value<struct request_rank_tag, int>;

/// Number of ranks per importance class.
inline constexpr int ranks_per_class = 128;
/// Number of ranks over all classes; the highest rank is one less.
inline constexpr int rank_count = ranks_per_class * importance_count;
/// Number of ranks by which each completed hop raises a request.
inline constexpr int ranks_per_hop = 32;

/// Returns the rank of a request of `cohort` (see `cohort_of`) that has
/// completed `work_done` hops.
request_rank rank_of(importance level, int cohort, int work_done);

/// Returns the importance class that a rank belongs to.
importance class_of(request_rank rank);

/// Returns the threshold that the callers of a hop with this `threshold` apply.
/// It is lower by one hop, because a request gains one completed hop on the way
/// from the caller.
request_rank threshold_for_callers(request_rank threshold);

} // namespace pollenhall
