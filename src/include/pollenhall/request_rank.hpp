// Rank of a request: one number that orders requests by what is shed first.
// The importance class decides; within a class, requests that have used more
// work come first, then the cohort, which is the same at every hop.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Larger ranks are shed later.
using request_rank = strong_value<struct request_rank_tag, int>;

/// Ranks in one importance class.
inline constexpr int ranks_per_class = 128;
/// One more than the highest rank.
inline constexpr int rank_count = ranks_per_class * importance_count;
/// Ranks by which one completed hop moves a request up.
inline constexpr int ranks_per_work = 32;

/// Rank of a request of `cohort` (see `cohort_of`) after `work_done` hops.
request_rank rank_of(importance level, int cohort, int work_done);

/// The importance class that a rank belongs to.
importance class_of(request_rank rank);

/// Threshold for callers of a hop that admits from `threshold` on: their
/// requests gain one hop of work on the way there.
request_rank threshold_one_hop_up(request_rank threshold);

} // namespace pollenhall
