// Checked conversion of JSON numbers. The JSON library converts silently: it
// truncates numbers that are too large, and accepts fractions and booleans.

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace pollenhall::sidecar
{

/// Largest time since the Unix epoch in ms that a document may contain; JSON
/// numbers beyond it are not exact.
inline constexpr std::int64_t max_epoch_ms = std::int64_t{1} << 53;

/// Returns an integer from `min` to `max`. Throws `std::invalid_argument` if
/// `value` is anything else.
inline std::int64_t read_integer(nlohmann::json const& value, std::int64_t min,
                                 std::int64_t max)
{
    bool const exceeds_int64 =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!value.is_number_integer() || exceeds_int64)
        throw std::invalid_argument("expected an integer");
    auto const number = value.get<std::int64_t>();
    if (number < min || number > max)
        throw std::invalid_argument(
            "expected an integer from " + std::to_string(min) + " to " +
            std::to_string(max) + " but found " + std::to_string(number));
    return number;
}

/// Returns a hash, an integer of 64 bits without a sign. Throws
/// `std::invalid_argument` if `value` is anything else.
inline std::uint64_t read_hash(nlohmann::json const& value)
{
    if (!value.is_number_unsigned())
        throw std::invalid_argument("expected an integer without a sign");
    return value.get<std::uint64_t>();
}

} // namespace pollenhall::sidecar
