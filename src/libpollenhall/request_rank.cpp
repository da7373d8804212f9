// Implements the rank of a request.

#include <pollenhall/request_rank.hpp>
#include <pollenhall/trace_context.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{
constexpr int max_counted_hops = ranks_per_class / ranks_per_hop - 1;
} // namespace

request_rank rank_of(importance level, int cohort, int work_done)
{
    auto const counted_hops = std::clamp(work_done, 0, max_counted_hops);
    auto const cohort_offset =
        std::clamp(cohort, 0, cohort_count - 1) * ranks_per_hop / cohort_count;
    return request_rank(static_cast<int>(level) * ranks_per_class +
                        counted_hops * ranks_per_hop + cohort_offset);
}

importance class_of(request_rank rank)
{
    return static_cast<importance>(
        std::clamp(rank.value() / ranks_per_class, 0, importance_count - 1));
}

request_rank threshold_for_callers(request_rank threshold)
{
    return request_rank(std::max(0, threshold.value() - ranks_per_hop));
}

} // namespace pollenhall
