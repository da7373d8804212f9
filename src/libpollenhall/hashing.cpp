// Hash functions based on xxHash.

#include <pollenhall/hashing.hpp>

#include <array>

#include <xxhash.h>

namespace pollenhall
{

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right)
{
    std::array<std::uint64_t, 2> const both{left, right};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace pollenhall
