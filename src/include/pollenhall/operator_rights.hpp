// What operators may do. An operator acts for one member, or for the
// platform, which may do everything. Members declare their operators; the
// platform's key stands in the settings of each node.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace pollenhall
{

/// A right, always for the data of one member.
enum class operator_right
{
    /// See the member's declarations, status and reports.
    read,
    /// Apply declarations.
    change,
    /// Drain upstreams of the member's services.
    operate
};

/// The name used in declarations, such as `change`.
std::string_view to_string(operator_right value);
/// The right of that name; empty if there is none.
std::optional<operator_right> parse_operator_right(std::string_view name);

/// Digits of a key's hash: SHA-256 in hexadecimal.
inline constexpr std::size_t key_hash_digits = 64;

/// Whether a text can be the hash of a key.
bool is_key_hash(std::string_view text);

/// An operator as a member declares it.
struct operator_grant
{
    std::string name;
    /// Hash of the key; the key itself is stored nowhere.
    std::string key_hash;
    std::set<operator_right> rights;
};

/// An operator whose key was right.
struct operator_identity
{
    /// `platform` or `MEMBER/OPERATOR`.
    std::string name;
    /// Empty for the platform.
    std::optional<member_name> member;
    /// Not looked at for the platform.
    std::set<operator_right> rights;

    /// Whether it has a right for the data of `owner`.
    [[nodiscard]] bool may(operator_right right,
                           member_name const& owner) const;
};

/// Name by which the platform's own operators log in.
inline constexpr std::string_view platform_operator = "platform";

} // namespace pollenhall
