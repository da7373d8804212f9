// Lookup of enumeration values by name.

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenhall
{

/// Returns the value whose name is `name`; empty if there is none. `names`
/// holds the names in the order of the values, which start at 0 and have no
/// gaps.
template <class Enum, std::size_t Count>
std::optional<Enum>
find_by_name(std::array<std::string_view, Count> const& names,
             std::string_view name)
{
    auto const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

} // namespace pollenhall
