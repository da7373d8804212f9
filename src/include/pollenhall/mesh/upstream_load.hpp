// Load of one upstream, as its gate reports it with each response.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall::mesh
{

/// Load of an upstream at one moment.
struct upstream_load
{
    // Maximum number of concurrent calls; at least 1.
    int limit = 1;
    int running = 0;
    int queued = 0;
    // Fraction of recent calls that failed at the upstream, 0 to 1.
    double failure_fraction = 0;
    // Mean duration of a call at the upstream, in ms.
    double service_ms = 0;
};

/// Formats a load as the value of a header field, such as `40 12 0 0.01 22.5`:
/// the members in order, separated by spaces.
std::string write_load(upstream_load const& load);
/// Parses the output of `write_load`. Returns an empty optional if a value is
/// missing, malformed or out of range.
std::optional<upstream_load> parse_load(std::string_view text);

} // namespace pollenhall::mesh
