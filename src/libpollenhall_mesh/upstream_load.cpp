// Formats and parses the load of an upstream.

#include <pollenhall/mesh/upstream_load.hpp>
#include <pollenhall/mesh/word_reader.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace pollenhall::mesh
{

std::string write_load(upstream_load const& load)
{
    std::array<char, 96> text{};
    auto const size = std::snprintf(
        text.data(), text.size(), "%d %d %d %.2f %.1f", load.limit,
        load.running, load.queued, load.failure_fraction, load.service_ms);
    return std::string(text.data(), static_cast<std::size_t>(size));
}

std::optional<upstream_load> parse_load(std::string_view text)
{
    word_reader in(text);
    upstream_load load;
    load.limit = in.number<int>();
    load.running = in.number<int>();
    load.queued = in.number<int>();
    load.failure_fraction = in.number<double>();
    load.service_ms = in.number<double>();
    if (!in.ok())
        return std::nullopt;
    if (load.limit < 1 || load.running < 0 || load.queued < 0 ||
        !(load.failure_fraction >= 0) || !(load.service_ms >= 0))
        return std::nullopt;
    load.failure_fraction = std::min(load.failure_fraction, 1.0);
    return load;
}

} // namespace pollenhall::mesh
