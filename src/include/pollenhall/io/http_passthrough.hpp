// Forwards requests through cpp-httplib unchanged. The library would otherwise
// decode forms, compress responses and apply ranges by itself.

#pragma once

#include <array>
#include <string>
#include <string_view>

#include <httplib.h>

namespace pollenhall
{

/// Prefix of the names under which hidden headers are kept.
inline constexpr std::string_view hidden_header_prefix = "X-Pollenhall-Hidden-";

/// Renames the headers that the library would act on, and clears the ranges
/// that it has parsed.
inline void hide_headers(httplib::Request& request)
{
    constexpr std::array<std::string_view, 4> hidden{
        "Content-Type", "Accept-Encoding", "Content-Encoding", "Range"};
    for (auto const name : hidden)
    {
        auto const found = request.headers.find(std::string(name));
        if (found == request.headers.end())
            continue;
        auto value = std::move(found->second);
        request.headers.erase(found);
        request.headers.emplace(std::string(hidden_header_prefix) +
                                    std::string(name),
                                std::move(value));
    }
    request.ranges.clear();
}

/// Returns the original name of a header that may be hidden.
inline std::string_view original_name(std::string_view name)
{
    if (name.starts_with(hidden_header_prefix))
        name.remove_prefix(hidden_header_prefix.size());
    return name;
}

/// Reads a whole body without decoding it.
inline std::string read_body(httplib::ContentReader const& reader)
{
    std::string body;
    reader(
        [&body](char const* data, std::size_t size)
        {
            body.append(data, size);
            return true;
        });
    return body;
}

} // namespace pollenhall
