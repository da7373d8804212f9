// Metrics of the daemon in the Prometheus text format.

#pragma once

#include "control_plane.hpp"
#include "traffic_plane.hpp"

#include <string>

namespace pollenhall
{

/// Reads the counters and returns them formatted. Blocks until the traffic and
/// control threads have answered.
std::string format_metrics(traffic_plane& traffic, control_plane& control);

} // namespace pollenhall
