// Access keys of operators: random, shown once and stored only as a hash.

#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace pollenhall
{

/// Creates a key: 32 random bytes in hexadecimal. Returns Unavailable if the
/// system's random number generator fails.
absl::StatusOr<std::string> make_operator_key();

/// SHA-256 of a key, in hexadecimal. A slow password hash would add no
/// security, because keys are long and random.
std::string hash_operator_key(std::string_view key);

/// Compares two hashes in constant time.
bool is_same_hash(std::string_view left, std::string_view right);

} // namespace pollenhall
