// Metrics of a daemon in the text format of Prometheus.

#pragma once

#include "control_plane.hpp"
#include "traffic_plane.hpp"

#include <string>

namespace pollenhall
{

/// Reads the counts and formats them. Blocks until both threads answered.
std::string format_metrics(traffic_plane& traffic, control_plane& control);

} // namespace pollenhall
