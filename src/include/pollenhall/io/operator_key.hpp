// Keys of operators: random, shown once, stored only as a hash.

#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace pollenhall
{

/// A new key: 32 random bytes in hexadecimal. An error if the system has no
/// randomness.
absl::StatusOr<std::string> make_operator_key();

/// SHA-256 of a key, in hexadecimal. Keys are random and long, so a slow hash
/// would add nothing.
std::string hash_operator_key(std::string_view key);

/// Compares two hashes in a time that does not depend on where they differ.
bool is_same_hash(std::string_view left, std::string_view right);

} // namespace pollenhall
