// Builds the operators' report on error budget burn from the answers of the
// nodes.

#pragma once

#include "node_queries.hpp"

#include <pollenhall/declarations.hpp>

#include <operator_types.h>

namespace pollenhall
{

/// Returns the number of nodes that are expected to answer: all except those
/// that have left.
int count_known_nodes(query_result const& result);

/// Builds the report for `member`, whose data the nodes were queried for. `now`
/// is the end of the windows.
rpc::burn_reply make_burn_reply(member_name const& member,
                                declaration_set const& declarations,
                                query_result const& result, wall_time now);

} // namespace pollenhall
