// Versions of the programs and of the protocol between nodes.

#pragma once

#include <string_view>

namespace pollenhall
{

/// Version of the daemon and the command-line tool.
inline constexpr std::string_view program_version = "0.1.0";
/// Version of the protocol between nodes.
inline constexpr int protocol_version = 1;

} // namespace pollenhall
