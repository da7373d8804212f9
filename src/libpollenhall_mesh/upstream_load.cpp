// Written form of an upstream's load.

#include <pollenhall/mesh/upstream_load.hpp>

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
        load.running, load.queued, load.failing_share, load.service_ms);
    return std::string(text.data(), static_cast<std::size_t>(size));
}

std::optional<upstream_load> parse_load(std::string_view text)
{
    upstream_load load;
    std::string const copy(text);
    if (std::sscanf(copy.c_str(), "%d %d %d %lf %lf", // NOLINT(cert-err34-c)
                    &load.limit, &load.running, &load.queued,
                    &load.failing_share, &load.service_ms) != 5)
        return std::nullopt;
    if (load.limit < 1 || load.running < 0 || load.queued < 0 ||
        !(load.failing_share >= 0) || !(load.service_ms >= 0))
        return std::nullopt;
    load.failing_share = std::min(load.failing_share, 1.0);
    return load;
}

} // namespace pollenhall::mesh
