// The operator's configuration as the mesh uses it: routes by host and
// prefix, services and limits on callers. Decoded by `platform/`.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall::mesh
{

/// Version of a configuration; only grows. 0 stands for none.
using config_version = strong_value<struct config_version_tag, std::int64_t>;
/// Name of a route.
using route_name = strong_value<struct route_name_tag, std::string>;

/// A part of a route's traffic.
struct weighted_service
{
    service_name service;
    // Share relative to the other parts; positive.
    double weight = 1;
};

/// How requests of one prefix are handled.
struct route
{
    route_name name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // Whether one request may run more than once.
    bool idempotent = false;
    // Longest time that a caller is kept waiting; zero if not limited.
    milliseconds timeout{0};
    // Time within which an answer has its full value.
    milliseconds objective{0};
    // 0 is the most important.
    int priority = 0;
    // Most upstreams to which one request may be sent; at least 1.
    int attempts = 1;
    // One or more.
    std::vector<weighted_service> parts;
};

/// What is declared of a service.
struct service_declaration
{
    service_name name;
    std::string health_path;
    // Connections that one upstream accepts from all callers together.
    int max_connections = 0;
};

/// Limits on what callers send, and on how long they take.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{64} * 1'024 * 1'024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the operator's configuration.
struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::vector<service_declaration> services;
    caller_limits limits;
};

/// Routes of one configuration, found by host and path. Immutable.
class route_table
{
public:
    explicit route_table(configuration config);
    // by_host_ points into config_.
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    /// The route of `host` (a port is ignored) with the longest prefix that
    /// begins `path`; null if there is none.
    [[nodiscard]] route const* find(std::string_view host,
                                    std::string_view path) const;
    [[nodiscard]] service_declaration const*
    find_service(service_name const& name) const;
    [[nodiscard]] configuration const& config() const { return config_; }

private:
    configuration config_;
    // Routes of each host in lower case, the longest prefix first.
    std::map<std::string, std::vector<route const*>, std::less<>> by_host_;
};

/// Deals the requests of split routes to their parts, in proportion to the
/// weights in any run of requests (smooth weighted rotation). Load pattern:
/// a part short of room must not push its share onto the others, so the
/// choice looks at weights alone. Not thread-safe.
class split_rotation
{
public:
    /// The part for the next request on `item`.
    service_name const& next(route const& item);

private:
    struct rotation
    {
        std::vector<weighted_service> parts;
        // What each part is owed, in units of weight; sums to zero.
        std::vector<double> owed;
    };
    std::map<route_name, rotation> rotations_;
};

} // namespace pollenhall::mesh
