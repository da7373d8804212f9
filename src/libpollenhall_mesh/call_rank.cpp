// Uses two levels per priority: the lower for work in progress, the higher for
// new requests.

#include <pollenhall/mesh/call_rank.hpp>

#include <pollenhall/trace_context.hpp>

namespace pollenhall::mesh
{

call_rank rank_of_entry(int priority, std::string_view request_id)
{
    return {.level = 2 * priority + 1, .cohort = cohort_of(request_id)};
}

call_rank rank_of_inner_call(call_rank parent)
{
    return {.level = parent.level - parent.level % 2, .cohort = parent.cohort};
}

bool is_urgent(call_rank rank)
{
    return rank.level <= 1;
}

} // namespace pollenhall::mesh
