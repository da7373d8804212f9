// Log lines on standard output that never block who writes them: lines wait
// in a bounded buffer, and what does not fit is counted and dropped.

#pragma once

#include <cstddef>

namespace pollenhall
{

/// Sends the lines of `log_event` to standard output instead of glog.
void start_line_logging();

/// Writes as much as standard output takes now. Call it often, from one
/// thread.
void flush_log_lines();

/// Lines that were dropped since the start because the buffer was full.
std::size_t dropped_log_lines();

} // namespace pollenhall
