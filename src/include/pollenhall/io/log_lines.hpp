// Non-blocking log output to standard output: lines wait in a bounded buffer;
// lines that do not fit are dropped and counted.

#pragma once

#include <cstddef>

namespace pollenhall
{

/// Directs the lines of `log_event` to standard output instead of glog.
void start_stdout_logging();

/// Writes as many buffered bytes as standard output accepts without blocking.
/// Call it frequently, always from the same thread.
void flush_log_lines();

/// Number of lines dropped since the process started because the buffer was
/// full.
std::size_t dropped_log_lines();

} // namespace pollenhall
