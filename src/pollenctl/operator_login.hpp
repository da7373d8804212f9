// Credentials of an operator, stored in a key file that only its owner can
// access.

#pragma once

#include <string>

namespace pollenhall
{

/// Name and key of an operator.
struct operator_login
{
    /// `platform` or `MEMBER/OPERATOR`.
    std::string name;
    std::string key;
};

/// Reads a file with one line `NAME KEY`. Throws std::invalid_argument if it
/// is missing, malformed, or accessible to other users than its owner.
operator_login read_key_file(std::string const& path);

/// Generates a key, writes `NAME KEY` to a new file that only the owner can
/// access, and returns the hash of the key for the declarations. Throws
/// std::invalid_argument if the file exists or cannot be written.
std::string create_key_file(std::string const& path, std::string const& name);

} // namespace pollenhall
