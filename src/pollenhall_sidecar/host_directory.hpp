// Written form of host entries.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <string>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

std::string write_host(mesh::host_entry const& entry);
/// Reads an entry; one by another writer, or one that can't be read, is an
/// error.
absl::StatusOr<mesh::host_entry> parse_host(std::string const& text);

} // namespace pollenhall::sidecar
