// Load balancing: chooses the upstream for a call, based on latencies and
// failures that this node has measured. A load report from an upstream or its
// node can only reduce the traffic that it receives, so that a wrong report
// cannot attract calls.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/request_rank.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace pollenhall
{

/// An upstream that may be chosen, identified by the node beside it.
struct route_candidate
{
    node_id node;
    zone_name zone;
    /// Whether it was announced recently and gets a slow start.
    bool warming_up = false;
    /// Whether its node is suspected to be dead; it is chosen only if there is
    /// no other.
    bool suspected_dead = false;
};

/// How a call ended, as far as load balancing is concerned.
enum class route_result
{
    completed,
    /// Refused without running; does not count as a failure of the upstream.
    refused,
    /// The upstream closed the connection, timed out or answered with an error.
    failed,
    /// The caller cancelled it, or the connection between the nodes was lost;
    /// does not count as a failure of the upstream.
    cancelled
};

/// Load of an upstream as reported with an answer.
struct load_hint
{
    int running = 0;
    int queued = 0;
    int limit = 0;
    request_rank admitted_rank{0};
    bool accepting = true;
};

/// Settings of `router`.
struct router_options
{
    zone_name own_zone;
    /// Added to the measured latency of upstreams in other zones.
    microseconds cross_zone_latency{1'000};
    /// Number of consecutive failures after which an upstream is ejected.
    int consecutive_failures_to_eject = 5;
    /// Duration of the first ejection; doubles with each further one.
    milliseconds ejection_time{1'000};
    milliseconds max_ejection_time{10'000};
    /// Largest fraction of the upstreams that may be ejected at once.
    double max_ejected_share = 0.34;
    /// Time over which a newly announced upstream ramps up to its full share of
    /// the calls.
    milliseconds slow_start_time{5'000};
    /// Age at which a load report expires.
    milliseconds hint_lifetime{200};
    /// Time for which an upstream is penalized after it refused a call.
    milliseconds refusal_penalty_time{500};
};

/// Why no upstream was chosen.
enum class route_failure
{
    /// There is no candidate.
    no_candidate,
    /// Each candidate refuses calls of this rank now.
    shed
};

/// The chosen candidate, or the reason why none was chosen.
struct route_choice
{
    std::optional<node_id> node;
    route_failure failure = route_failure::no_candidate;
};

/// Load balancer for one service on one calling node. Not thread-safe.
class router
{
public:
    explicit router(router_options options);

    /// Chooses one of `candidates`. Those in `tried` are chosen only if there
    /// is no other. `random` is any 64 random bits.
    route_choice choose(std::span<route_candidate const> candidates,
                        std::set<node_id> const& tried, request_rank rank,
                        mono_time now, std::uint64_t random);

    /// Records that a call was sent.
    void on_start(node_id const& node, mono_time now);
    /// Records the end of a call; to be called once for each `on_start`.
    void on_finish(node_id const& node, mono_time now, microseconds latency,
                   route_result result);
    /// Records the load that was reported with an answer.
    void on_hint(node_id const& node, load_hint const& hint, mono_time now);
    /// Removes the state of nodes that are not among `candidates` and have no
    /// calls in flight.
    void retain(std::span<route_candidate const> candidates);

    /// Returns the lowest admission threshold of the candidates that accept
    /// calls, to be reported to the callers; 0 if the threshold of a candidate
    /// is not known.
    [[nodiscard]] request_rank
    lowest_threshold(std::span<route_candidate const> candidates,
                     mono_time now) const;

    /// Returns whether the node is ejected now.
    [[nodiscard]] bool is_ejected(node_id const& node, mono_time now) const;

private:
    struct target
    {
        int in_flight = 0;
        // Moving average over completed calls; 0 until one has completed.
        double latency_us = 0;
        int consecutive_failures = 0;
        int ejections = 0;
        mono_time ejected_until{};
        mono_time last_refusal{};
        mono_time first_seen{};
        load_hint hint;
        mono_time hint_time{};
        bool has_hint = false;
    };

    [[nodiscard]] bool sheds(target const& item, request_rank rank,
                             mono_time now) const;
    [[nodiscard]] double expected_cost(route_candidate const& candidate,
                                       mono_time now) const;
    [[nodiscard]] double mean_latency_us() const;
    void eject_if_allowed(target& item, mono_time now);

    router_options options_;
    std::map<node_id, target> targets_;
};

} // namespace pollenhall
