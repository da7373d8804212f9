// Operator configuration of the mesh: routes by host and path prefix, services,
// and limits on callers. `platform/` decodes it.

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

/// Version of a configuration; never decreases. 0 means none.
using config_version = strong_value<struct config_version_tag, std::int64_t>;
/// Name of a route.
using route_name = strong_value<struct route_name_tag, std::string>;

/// A service that gets a fraction of a route's traffic.
struct weighted_service
{
    service_name service;
    // Positive; the fraction is the weight divided by the sum of all weights.
    double weight = 1;
};

/// Rules for the requests under one path prefix.
struct route
{
    route_name name;
    std::string host;
    // Starts and ends with a slash.
    std::string prefix;
    // Whether a request may run more than once, so that it can be retried.
    bool idempotent = false;
    // Longest time that a caller waits for a response; zero means no limit.
    milliseconds timeout{0};
    // Target latency: time within which a response has its full value.
    milliseconds objective{0};
    // 0 is the highest priority.
    int priority = 0;
    // Maximum number of upstreams to which one request is sent; at least 1.
    int attempts = 1;
    // Services that share the traffic; at least one.
    std::vector<weighted_service> parts;
};

/// Declared properties of a service.
struct service_declaration
{
    service_name name;
    std::string health_path;
    // Maximum number of connections that one upstream accepts from all callers
    // together.
    int max_connections = 0;
};

/// Limits on the size and the time of what callers send.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{64} * 1'024 * 1'024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the operator configuration.
struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::vector<service_declaration> services;
    caller_limits limits;
};

/// Looks up the routes of one configuration by host and path. Immutable.
class route_table
{
public:
    explicit route_table(configuration config);
    // by_host_ points into config_.
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    /// Returns the route of `host` with the longest prefix of `path`, or null
    /// if there is none. Ignores the port and the case of `host`.
    [[nodiscard]] route const* find(std::string_view host,
                                    std::string_view path) const;
    /// Returns the declaration of a service, or null if there is none.
    [[nodiscard]] service_declaration const*
    find_service(service_name const& name) const;
    [[nodiscard]] configuration const& config() const { return config_; }

private:
    configuration config_;
    // Routes by host in lower case, sorted by descending length of the prefix.
    std::map<std::string, std::vector<route const*>, std::less<>> by_host_;
};

/// Distributes the requests of a route over its services by smooth weighted
/// round robin: any sequence of requests is split in proportion to the weights.
/// Only the weights count, so that an overloaded service does not move its
/// traffic to the others. Not thread-safe.
class weighted_round_robin
{
public:
    /// Returns the service for the next request on the route `item`.
    service_name const& next(route const& item);

private:
    struct route_state
    {
        std::vector<weighted_service> parts;
        // Per part, the weight gained with each request minus the total weight
        // of all parts for each request that it received; sums to zero.
        std::vector<double> credits;
    };
    std::map<route_name, route_state> states_;
};

} // namespace pollenhall::mesh
