// Names of the values of an enumeration, in the order of the values.

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenhall
{

/// The value whose name stands in `names`; empty if there is none. The
/// enumeration counts from zero without gaps.
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
