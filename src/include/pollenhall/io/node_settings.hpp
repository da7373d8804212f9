// Settings of one daemon, read from an INI file. docs/settings.md documents the
// keys.

#pragma once

#include <pollenhall/findings.hpp>
#include <pollenhall/io/etcd_store.hpp>
#include <pollenhall/membership.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Which overload control decisions the daemon makes.
enum class policy_mode
{
    /// All of them.
    full,
    /// None: round robin, a fixed number of retries at each hop and no limits.
    /// Baseline of the benchmarks.
    none
};

/// Settings of one daemon.
struct node_settings
{
    node_id name;
    zone_name zone;
    /// IPv4 address that all ports are bound to.
    std::string address;
    int caller_port = 0;
    /// Used for both TCP and UDP.
    int peer_port = 0;
    int operator_port = 0;
    /// Directory of the state charts.
    std::string charts = "charts";
    /// Peers to contact first when joining.
    std::vector<peer_endpoint> seeds;
    etcd_store_options store;
    std::string store_prefix = "/pollenhall/";
    /// Maximum number of callers' connections served at once.
    int caller_connections = 256;
    /// Maximum size of a body.
    int max_body_bytes = 0;
    /// Maximum number of concurrent exchanges with the upstream.
    int upstream_connections = 256;
    /// Time after which an upstream that does not renew its announcement is
    /// considered gone.
    milliseconds upstream_lease{3'000};
    /// Warm-up time of an upstream, counted from its announcement.
    milliseconds warm_up{2'000};
    /// Maximum time that a planned stop waits for calls in flight.
    milliseconds stop_grace{30'000};
    /// Interval between gossip probes.
    milliseconds gossip_period{1'000};
    /// One-way network latency to other zones.
    microseconds cross_zone_latency{1'000};
    policy_mode policy = policy_mode::full;
    /// Hash of the key of the platform's operators.
    std::string platform_key_hash;
};

/// Parses the text of a settings file; errors are added to `findings` with
/// `path` as their location.
node_settings parse_settings(std::string_view path, std::string_view text,
                             finding_list& findings);

/// Parses `ADDRESS:PORT` with an IPv4 address. Returns nothing if malformed.
std::optional<peer_endpoint> parse_endpoint(std::string_view text);

/// Reads a whole file. On failure returns NotFound with the path and the
/// system's error message.
absl::StatusOr<std::string> read_file(std::string const& path);

} // namespace pollenhall
