// Written form of host entries, and of the state that nodes share with each
// other when the store is away.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

std::string write_host(mesh::host_entry const& entry);
/// Reads an entry; one by another writer, or one that can't be read, is an
/// error.
absl::StatusOr<mesh::host_entry> parse_host(std::string const& text);

/// What one node tells another.
struct shared_state
{
    // The configuration as the store holds it.
    std::string configuration;
    std::vector<mesh::host_entry> hosts;
};
std::string write_state(shared_state const& state);
absl::StatusOr<shared_state> parse_state(std::string const& text);

} // namespace pollenhall::sidecar
