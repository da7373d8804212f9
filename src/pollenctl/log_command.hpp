// The command that follows a request through log files.

#pragma once

#include "commands.hpp"

namespace pollenhall
{

/// `trace ID --logs FILE...`: prints what the logs of nodes say of a request,
/// the calls that it led to, and changes on their hosts.
int run_trace(command_arguments const& arguments);

} // namespace pollenhall
