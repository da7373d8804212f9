// Keys of requests that must run at most once: UUIDs of version 7 (RFC 9562),
// which carry the time at which the caller issued them.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// A well-formed key.
class idempotency_key
{
public:
    /// Parses the textual form; empty unless it is a UUID of version 7.
    /// Letters may be of either case and are stored in lower case. The quotes
    /// of an HTTP structured string around it are allowed.
    static std::optional<idempotency_key> parse(std::string_view text);

    /// Canonical text, 36 characters.
    [[nodiscard]] std::string const& text() const { return text_; }
    /// Time of issue according to the caller's clock.
    [[nodiscard]] wall_time issued() const { return issued_; }

    auto operator<=>(idempotency_key const&) const = default;

private:
    idempotency_key(std::string text, wall_time issued)
        : text_(std::move(text)), issued_(issued)
    {
    }

    std::string text_;
    wall_time issued_;
};

} // namespace pollenhall
