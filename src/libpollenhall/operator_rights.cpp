// Names of access rights, and the access check.

#include <pollenhall/operator_rights.hpp>

#include <pollenhall/name_table.hpp>

#include <algorithm>
#include <array>

namespace pollenhall
{
namespace
{
constexpr std::array<std::string_view, 3> right_names{"read", "change",
                                                      "operate"};
} // namespace

std::string_view to_string(operator_right value)
{
    return right_names.at(static_cast<std::size_t>(value));
}

std::optional<operator_right> parse_operator_right(std::string_view name)
{
    return find_by_name<operator_right>(right_names, name);
}

bool is_key_hash(std::string_view text)
{
    auto const is_digit = [](char letter)
    {
        return (letter >= '0' && letter <= '9') ||
               (letter >= 'a' && letter <= 'f');
    };
    return text.size() == key_hash_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

bool operator_identity::may(operator_right right,
                            member_name const& owner) const
{
    if (!member)
        return true;
    return *member == owner && rights.contains(right);
}

} // namespace pollenhall
