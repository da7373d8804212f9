// Parses idempotency keys.

#include <pollenhall/idempotency_key.hpp>

#include <charconv>

namespace pollenhall
{
namespace
{

constexpr std::size_t uuid_size = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr int hex_base = 16;

bool is_hyphen_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_uuid_version_7(std::string_view text)
{
    if (text.size() != uuid_size)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        bool const valid =
            is_hyphen_position(i) ? text[i] == '-' : is_hex_digit(text[i]);
        if (!valid)
            return false;
    }
    auto const variant = text[variant_position];
    return text[version_position] == '7' && (variant == '8' || variant == '9' ||
                                             variant == 'a' || variant == 'b');
}

} // namespace

std::optional<idempotency_key> idempotency_key::parse(std::string_view text)
{
    if (text.size() == uuid_size + 2 && text.front() == '"' &&
        text.back() == '"')
        text = text.substr(1, uuid_size);
    std::string canonical;
    for (char const c : text)
        canonical += to_lower(c);
    if (!is_uuid_version_7(canonical))
        return std::nullopt;
    // The first 48 bits are the milliseconds since the Unix epoch.
    auto const digits = canonical.substr(0, 8) + canonical.substr(9, 4);
    std::int64_t issued_ms = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), issued_ms,
                    hex_base);
    return idempotency_key(std::move(canonical),
                           wall_time(milliseconds(issued_ms)));
}

} // namespace pollenhall
