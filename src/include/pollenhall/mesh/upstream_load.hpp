// The load of one upstream as its gate reports it with each answer.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall::mesh
{

/// Load of an upstream at one moment.
struct upstream_load
{
    // Calls that may run at once; at least 1.
    int limit = 1;
    int running = 0;
    int queued = 0;
    // Share of recent calls that the upstream failed, 0 to 1.
    double failing_share = 0;
    // Mean time of a call at the upstream, in ms.
    double service_ms = 0;
};

/// Written form for a header of our own, such as `40 12 0 0.01 22.5`.
std::string write_load(upstream_load const& load);
/// Reads the written form; empty if it is not one.
std::optional<upstream_load> parse_load(std::string_view text);

} // namespace pollenhall::mesh
