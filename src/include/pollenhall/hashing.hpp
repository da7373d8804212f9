// Hashes that all nodes compute alike: rendezvous hashing, cohorts of
// requests and fingerprints. They are no protection against an adversary.

#pragma once

#include <cstdint>
#include <string_view>

namespace pollenhall
{

/// XXH3 of `text`; the same on every node and in every version.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Mixes two hashes into one.
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right);

} // namespace pollenhall
