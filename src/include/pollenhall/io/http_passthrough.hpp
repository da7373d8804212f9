// Keeps cpp-httplib from interpreting requests that are to be passed on as
// they are: it decodes forms, compresses answers and cuts ranges by itself.

#pragma once

#include <array>
#include <string>
#include <string_view>

#include <httplib.h>

namespace pollenhall
{

/// Start of the names that hidden headers are kept under.
inline constexpr std::string_view hidden_prefix = "X-Pollenhall-Hidden-";

/// Takes the headers that the library would act on out of its sight.
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
        request.headers.emplace(std::string(hidden_prefix) + std::string(name),
                                std::move(value));
    }
    request.ranges.clear();
}

/// The name that a header came with.
inline std::string_view original_name(std::string_view name)
{
    if (name.starts_with(hidden_prefix))
        name.remove_prefix(hidden_prefix.size());
    return name;
}

/// Reads a whole body as it is.
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
