// Access rights of operators. An operator belongs to one member or to the
// platform, which has all rights. Members declare their operators; the key of
// the platform's operators is in the settings of each node.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace pollenhall
{

/// An access right to the data of one member.
enum class operator_right
{
    /// Read the member's declarations, status and reports.
    read,
    /// Apply declarations.
    change,
    /// Drain upstreams of the member's services.
    operate
};

/// Returns the name used in declarations, such as `change`.
std::string_view to_string(operator_right value);
/// Returns the right of that name; empty if there is none.
std::optional<operator_right> parse_operator_right(std::string_view name);

/// Number of hexadecimal digits of a key's SHA-256 hash.
inline constexpr std::size_t key_hash_digits = 64;

/// Whether `text` has the format of a key hash: lower-case hexadecimal.
bool is_key_hash(std::string_view text);

/// An operator declared by a member.
struct operator_grant
{
    std::string name;
    /// Hash of the operator's key; the key itself is not stored.
    std::string key_hash;
    std::set<operator_right> rights;
};

/// An authenticated operator.
struct operator_identity
{
    /// `platform` or `MEMBER/OPERATOR`.
    std::string name;
    /// Empty for the platform.
    std::optional<member_name> member;
    /// Ignored for the platform, which has all rights.
    std::set<operator_right> rights;

    /// Whether the operator has `right` to the data of `owner`.
    [[nodiscard]] bool may(operator_right right,
                           member_name const& owner) const;
};

/// Login name of the platform's operators.
inline constexpr std::string_view platform_operator = "platform";

} // namespace pollenhall
