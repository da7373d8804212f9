// JSON form of host entries in the store, and of crash suspicions sent to
// peers.

#pragma once

#include <pollenhall/mesh/suspicion_ledger.hpp>

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

/// Writes an entry as JSON.
std::string write_host_entry(mesh::host_entry const& entry);
/// Parses an entry; returns `InvalidArgument` if it is malformed or has no
/// valid address and port.
absl::StatusOr<mesh::host_entry> parse_host_entry(std::string const& text);

/// Request path to which peers send entries of upstreams that depart.
inline constexpr std::string_view departures_path = "/mesh/departures";
/// Request path to which peers send crash suspicions.
inline constexpr std::string_view suspicions_path = "/mesh/suspicions";
/// Writes suspicions that are sent to a peer as JSON.
std::string write_suspicions(std::vector<crash_suspicion> const& suspicions);
/// Parses suspicions from a peer; returns `InvalidArgument` if they are
/// malformed.
absl::StatusOr<std::vector<crash_suspicion>>
parse_suspicions(std::string const& text);

} // namespace pollenhall::sidecar
