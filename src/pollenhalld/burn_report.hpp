// Builds the operators' report on service-level burn from what the nodes
// answered.

#pragma once

#include "node_queries.hpp"

#include <pollenhall/declarations.hpp>

#include <operator_types.h>

namespace pollenhall
{

/// Nodes that are expected to answer: all that did not say goodbye.
int count_known(query_result const& result);

/// The report of one member.
rpc::burn_reply make_burn_reply(member_name const& member,
                                declaration_set const& declarations,
                                query_result const& result, wall_time now);

} // namespace pollenhall
