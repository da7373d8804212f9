// Chooses the upstream for a call. Many nodes send to the same few upstreams,
// which differ in speed, and each node knows their load only from earlier
// responses. Choosing by slots in use alone prefers upstreams that fail fast.
// If all nodes choose the least loaded upstream at once, they overload it
// (thundering herd).

#pragma once

#include <pollenhall/crash_guard.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/mesh/registration.hpp>
#include <pollenhall/mesh/upstream_load.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenhall::mesh
{

/// Address of a host, without a port.
using host_address = strong_value<struct host_address_tag, std::string>;

/// Returns the id of the crash that ends one start of the upstream on a host.
crash_id crash_id_of(host_address const& host,
                     incarnation_id const& incarnation,
                     std::optional<wall_time> started);

/// Data about another host, from its entry in the store.
struct host_entry
{
    host_address host;
    // Port at which its gate accepts calls from other nodes.
    int gate_port = 0;
    zone_name zone;
    service_name service;
    incarnation_id incarnation;
    // Start time of the upstream by its own clock; empty if not reported.
    std::optional<wall_time> started{};
    int slots = 0;
    // Whether its upstream accepts new work.
    bool ready = false;
    // Whether the node on it is in a planned stop. It still accepts calls for
    // its upstream for a while.
    bool stopping = false;
    // Whether its upstream has announced its end, and whether it has
    // deregistered. Unlike `ready`, they say nothing about the node.
    bool draining = false;
    bool left = false;
    // Sequence number of the upstream's last heartbeat before this entry.
    std::int64_t sequence = 0;
    // Remaining time for which the upstream is slow after its start, counted
    // from when the entry is read.
    milliseconds cold_remaining{0};
    // Identifies the start of the node that wrote the entry.
    boot_id boot;
    // Crash suspicions that this host publishes, also those heard from others.
    std::vector<published_suspicion> suspicions;

    bool operator==(host_entry const&) const = default;
};

/// Settings of `placement`.
struct placement_options
{
    zone_name own_zone;
    host_address own_host;
    /// Utilisation added for an upstream in another availability zone, because
    /// traffic between zones is billed.
    double zone_penalty = 0.35;
    /// Utilisation added for an upstream whose mean service time equals the
    /// useful time. It is scaled by the square of their ratio: service times
    /// vary, so the risk of a late response grows faster than the mean.
    double time_penalty = 0.6;
    /// Replaces `time_penalty` for a call that must not be retried, because
    /// its late response is a lost call.
    double single_attempt_time_penalty = 2;
    /// Utilisation added for an upstream that fails all calls, scaled by the
    /// fraction of failed calls.
    double failure_penalty = 3;
    /// Utilisation added for an upstream whose node is stopping. It gets calls
    /// only if the others are overloaded or away, as when the nodes of a
    /// service are restarted in turn while some of its upstreams leave.
    double stopping_penalty = 1;
    /// Utilisation added while an upstream is slow after its start.
    double cold_penalty = 0.3;
    /// Age at which the reported load by other nodes counts half.
    milliseconds load_half_life{400};
    /// Time for which an upstream is not chosen after it could not be reached.
    /// Doubles with each failure up to `max_pause`.
    milliseconds initial_pause{100};
    milliseconds max_pause{1'600};
};

/// Requirements of one call.
struct placement_need
{
    service_name service;
    /// Time within which a response has its full value. If it is long, the
    /// service time matters little and calls stay in the zone.
    milliseconds useful_time{0};
    /// Whether the call may be retried at another upstream after a failure.
    bool retryable = true;
};

/// Tracks the upstreams of all services for one node and chooses among them.
/// Not thread-safe.
class placement
{
public:
    explicit placement(placement_options options);

    /// Replaces the known hosts. Keeps the load and the pause of a host whose
    /// entry is unchanged. For a changed entry, keeps the outstanding calls
    /// and, if the incarnation is the same, the service time.
    void set_hosts(std::vector<host_entry> const& hosts, mono_time now);

    /// Returns the upstream with the lowest cost that is not in `excluded`, or
    /// null if there is none. `random` breaks ties.
    [[nodiscard]] host_entry const*
    choose(placement_need const& need,
           std::vector<host_address> const& excluded, std::uint64_t random,
           mono_time now) const;
    /// Returns the upstream with the lowest cost among `candidates`, or null.
    [[nodiscard]] host_entry const*
    choose_among(placement_need const& need,
                 std::vector<host_address> const& candidates,
                 std::uint64_t random, mono_time now) const;

    /// Counts a call that is sent to the host.
    void on_sent(host_address const& host);
    /// Counts the end of a call that was sent to the host.
    void on_finished(host_address const& host);
    /// Records the load that a response reports.
    void on_load_report(host_address const& host, upstream_load const& load,
                        mono_time now);
    /// Excludes a host that could not be reached for the next pause.
    void on_unreachable(host_address const& host, mono_time now);
    /// Excludes a host whose gate reports that its upstream accepts no work, or
    /// that it belongs to another service. Lasts until the entry of
    /// the host changes or `pause` has passed.
    void on_not_ready(host_address const& host, milliseconds pause,
                      mono_time now);

    /// Number of known hosts of a service.
    [[nodiscard]] std::size_t host_count(service_name const& service) const;

private:
    struct upstream_view
    {
        host_entry entry;
        upstream_load load;
        mono_time load_time{};
        // Calls of this node without a response yet; never negative.
        int outstanding = 0;
        int outstanding_at_report = 0;
        bool has_load = false;
        mono_time cold_until{};
        mono_time paused_until{};
        milliseconds pause{0};
    };

    // Calls at the upstream divided by its limit. The calls of other nodes are
    // estimated from the last report, which decays with its age.
    [[nodiscard]] double utilisation(upstream_view const& view,
                                     mono_time now) const;
    // Utilisation plus all penalties.
    [[nodiscard]] double cost(upstream_view const& view,
                              placement_need const& need, mono_time now) const;
    [[nodiscard]] bool usable(upstream_view const& view, mono_time now) const;
    upstream_view* find(host_address const& host);

    placement_options options_;
    std::map<host_address, upstream_view> views_;
    std::map<service_name, std::vector<host_address>> by_service_;
};

} // namespace pollenhall::mesh
