// Hashes that are equal on all nodes, for rendezvous hashing, request cohorts
// and fingerprints. Not cryptographic: they do not resist chosen inputs.

#pragma once

#include <cstdint>
#include <string_view>

namespace pollenhall
{

/// Returns the 64-bit XXH3 hash of `text`. The result must stay the same on
/// every node and in every version.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Combines two hashes into one; the order matters.
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right);

} // namespace pollenhall
