// Resource limits of the process.

#pragma once

#include <absl/status/status.h>

#include <cstdint>

namespace pollenhall
{

/// Raises the soft limit on open files to `needed`, or as far as the hard limit
/// allows. Returns ResourceExhausted, with both numbers, if fewer than `needed`
/// files may be open.
absl::Status raise_open_file_limit(std::uint64_t needed);

} // namespace pollenhall
