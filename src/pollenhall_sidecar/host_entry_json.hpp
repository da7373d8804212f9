// JSON form of host entries in the store.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <string>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

/// Writes an entry as JSON.
std::string write_host_entry(mesh::host_entry const& entry);
/// Parses an entry; returns `InvalidArgument` if it is malformed or has no
/// valid address and port.
absl::StatusOr<mesh::host_entry> parse_host_entry(std::string const& text);

} // namespace pollenhall::sidecar
