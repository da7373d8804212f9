// The operator's name and key, as the command line gets them: from a file
// that only its owner can read.

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
/// is missing, malformed, or open to others than its owner.
operator_login read_login(std::string const& path);

/// Makes a new key, writes `NAME KEY` into a new file that only the owner can
/// read, and returns the hash to declare. Throws std::invalid_argument if the
/// file exists or cannot be written.
std::string write_new_login(std::string const& path, std::string const& name);

} // namespace pollenhall
