// Computes ranks.

#include <pollenhall/request_rank.hpp>
#include <pollenhall/trace_context.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{
constexpr int max_work_steps = ranks_per_class / ranks_per_work - 1;
} // namespace

request_rank rank_of(importance level, int cohort, int work_done)
{
    auto const work = std::clamp(work_done, 0, max_work_steps);
    auto const place =
        std::clamp(cohort, 0, cohort_count - 1) * ranks_per_work / cohort_count;
    return request_rank(static_cast<int>(level) * ranks_per_class +
                        work * ranks_per_work + place);
}

importance class_of(request_rank rank)
{
    return static_cast<importance>(
        std::clamp(rank.value() / ranks_per_class, 0, importance_count - 1));
}

request_rank threshold_one_hop_up(request_rank threshold)
{
    return request_rank(std::max(0, threshold.value() - ranks_per_work));
}

} // namespace pollenhall
