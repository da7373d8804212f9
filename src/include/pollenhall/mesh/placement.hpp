// Chooses the upstream for a call. Load pattern: many nodes send to the same
// few upstreams, of unequal speed, each with an old view of their load. A
// choice by slots in use alone sends work to upstreams that fail fast; a
// choice of the least loaded by all nodes at once makes a herd.

#pragma once

#include <pollenhall/crash_guard.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/mesh/registration.hpp>
#include <pollenhall/mesh/upstream_load.hpp>

#include <map>
#include <string>
#include <vector>

namespace pollenhall::mesh
{

/// Address of a host, without a port.
using host_address = strong_value<struct host_address_tag, std::string>;

/// What is known of another host, from its entry in the store.
struct host_entry
{
    host_address host;
    // Port at which its gate takes calls of other nodes.
    int gate_port = 0;
    zone_name zone;
    service_name service;
    incarnation_id incarnation;
    int slots = 0;
    // Whether its upstream takes new work.
    bool ready = false;
    // The upstream is slow until then, counted from when the entry was read.
    milliseconds cold_left{0};
    // Start of the node that wrote it.
    boot_id boot;
    // Requests that were at its upstream when it crashed.
    std::vector<crash_suspicion> suspicions;

    bool operator==(host_entry const&) const = default;
};

/// Settings of `placement`.
struct placement_options
{
    zone_name own_zone;
    host_address own_host;
    /// Utilisation by which an upstream of another availability zone must be
    /// less busy to be chosen; traffic between zones is paid for.
    double zone_penalty = 0.35;
    /// Utilisation that an upstream counts as busier when its calls take all
    /// of the useful time. Grows with the square of the share: times vary, so
    /// the risk of a late answer grows faster than the mean time.
    double time_penalty = 0.6;
    /// The same for a call that may not be repeated: late, it is lost.
    double sole_time_penalty = 2;
    /// Utilisation that the failure of all calls is worth.
    double failure_penalty = 3;
    /// Utilisation added while an upstream is cold.
    double cold_penalty = 0.3;
    /// Age at which the reported load of others counts half.
    milliseconds load_half_life{400};
    /// First pause after an upstream could not be reached; doubles up to
    /// `max_pause`.
    milliseconds first_pause{100};
    milliseconds max_pause{1'600};
};

/// What a call needs.
struct placement_need
{
    service_name service;
    /// Time within which the answer is of full use: where it is long, calls
    /// stay in the zone.
    milliseconds useful_time{0};
    /// Whether another upstream may run it after a failure.
    bool repeatable = true;
};

/// Upstreams of all services as one node sees them. Not thread-safe.
class placement
{
public:
    explicit placement(placement_options options);

    /// Replaces what is known of the hosts. Load and failures of hosts that
    /// stay with the same incarnation are kept.
    void set_hosts(std::vector<host_entry> const& hosts, mono_time now);

    /// The upstream outside `excluded` from which an answer is expected at
    /// the least cost; null if there is none. `random` breaks ties.
    [[nodiscard]] host_entry const*
    choose(placement_need const& need,
           std::vector<host_address> const& excluded, std::uint64_t random,
           mono_time now) const;
    /// The same among given hosts.
    [[nodiscard]] host_entry const*
    choose_among(placement_need const& need,
                 std::vector<host_address> const& candidates,
                 std::uint64_t random, mono_time now) const;

    void on_sent(host_address const& host);
    void on_finished(host_address const& host);
    /// Takes in the load that came with an answer.
    void on_load(host_address const& host, upstream_load const& load,
                 mono_time now);
    /// The host could not be reached.
    void on_unreachable(host_address const& host, mono_time now);
    /// The gate says that its upstream takes no work, or is not the one that
    /// was meant. Holds until its entry changes or `pause` is over.
    void on_not_ready(host_address const& host, milliseconds pause,
                      mono_time now);

    [[nodiscard]] std::size_t known(service_name const& service) const;

private:
    struct upstream_view
    {
        host_entry entry;
        upstream_load load;
        mono_time load_time{};
        // Calls of this node that are on their way; never negative.
        int outstanding = 0;
        int outstanding_at_report = 0;
        bool has_load = false;
        mono_time cold_until{};
        mono_time paused_until{};
        milliseconds pause{0};
    };

    [[nodiscard]] double utilisation(upstream_view const& view,
                                     mono_time now) const;
    // Utilisation with penalties.
    [[nodiscard]] double cost(upstream_view const& view,
                              placement_need const& need, mono_time now) const;
    [[nodiscard]] bool usable(upstream_view const& view, mono_time now) const;
    upstream_view* find(host_address const& host);

    placement_options options_;
    std::map<host_address, upstream_view> views_;
    std::map<service_name, std::vector<host_address>> by_service_;
};

} // namespace pollenhall::mesh
