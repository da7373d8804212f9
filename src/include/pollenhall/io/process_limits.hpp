// Limits of the process that the settings must fit into.

#pragma once

#include <absl/status/status.h>

#include <cstdint>

namespace pollenhall
{

/// Raises the soft limit of open files as far as the hard limit allows, up to
/// `needed`. ResourceExhausted, with both numbers, if that is not enough.
absl::Status reserve_open_files(std::uint64_t needed);

} // namespace pollenhall
