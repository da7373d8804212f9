// Settings of one daemon, read from an INI file. docs/settings.md lists each
// key.

#pragma once

#include <pollenhall/findings.hpp>
#include <pollenhall/io/etcd_store.hpp>
#include <pollenhall/membership.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Which decisions the daemon takes.
enum class policy_mode
{
    /// All of them.
    full,
    /// Round robin, a fixed number of retries at each hop, no limits: the
    /// baseline that the benchmark compares with.
    none
};

/// Settings of one daemon.
struct node_settings
{
    node_id name;
    zone_name zone;
    /// IP number that all ports are bound on.
    std::string address;
    int caller_port = 0;
    /// TCP and UDP.
    int peer_port = 0;
    int operator_port = 0;
    /// Folder with the state charts.
    std::string charts = "charts";
    std::vector<peer_endpoint> seeds;
    etcd_store_options store;
    std::string store_prefix = "/pollenhall/";
    /// Callers' connections that are served at once.
    int caller_connections = 256;
    /// Largest body, in bytes.
    int max_body_bytes = 0;
    /// Exchanges with the upstream at once, at most.
    int upstream_connections = 256;
    /// Time after which an upstream that does not renew is gone.
    milliseconds upstream_lease{3'000};
    /// Time from the announcement until an upstream counts as warm.
    milliseconds warm_up{2'000};
    /// Longest wait for calls in flight in a planned stop.
    milliseconds stop_grace{30'000};
    /// Time between two gossip probes.
    milliseconds gossip_period{1'000};
    /// One-way time to other zones.
    microseconds cross_zone_latency{1'000};
    policy_mode policy = policy_mode::full;
    /// Hash of the key of the platform's own operators.
    std::string platform_key_hash;
};

/// Parses settings; faults are added to `findings` under `path`.
node_settings parse_settings(std::string_view path, std::string_view text,
                             finding_list& findings);

/// Parses `ADDRESS:PORT` with an IPv4 number; empty if malformed.
std::optional<peer_endpoint> parse_endpoint(std::string_view text);

/// Reads a whole file; NotFound names the path and the system's reason.
absl::StatusOr<std::string> read_file(std::string const& path);

} // namespace pollenhall
