// The command that extracts the log lines of one request from log files.

#pragma once

#include "commands.hpp"

namespace pollenhall
{

/// Runs `trace REQUEST_ID --logs FILE...`: prints the log lines of a request
/// and of the calls that it caused, and state changes of their nodes at that
/// time.
int run_trace(command_arguments const& arguments);

} // namespace pollenhall
