// Idempotency keys of requests that must run at most once: UUIDs of version 7
// (RFC 9562), which contain the time at which the caller issued them.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// A valid idempotency key.
class idempotency_key
{
public:
    /// Parses the textual form, which may be enclosed in the quotes of an HTTP
    /// structured string. Upper-case letters are converted to lower case.
    /// Returns an empty value unless it is a UUID of version 7.
    static std::optional<idempotency_key> parse(std::string_view text);

    /// Returns the canonical text of 36 characters, in lower case.
    [[nodiscard]] std::string const& text() const { return text_; }
    /// Returns the time of issue by the caller's clock.
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
