// Chooses the upstream for a call, from what this node measured itself. What
// an upstream or its node claims can make it less attractive, never more.

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

/// An upstream that may be chosen, named by the node beside it.
struct route_candidate
{
    node_id node;
    zone_name zone;
    /// Whether it was announced a short time ago.
    bool warming_up = false;
    /// Whether its node is suspected to be gone; it is chosen only if there
    /// is no other.
    bool doubtful = false;
};

/// How a call ended, as far as the choice of upstreams is concerned.
enum class route_result
{
    completed,
    /// Refused without running; no fault of the upstream.
    refused,
    /// Broke off, timed out or answered with an error of its own.
    failed,
    /// The caller gave up first.
    cancelled
};

/// Load that came back with an answer.
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
    microseconds zone_trip{1'000};
    /// Failures in a row from which on an upstream is ejected.
    int failures_to_eject = 5;
    milliseconds eject_time{1'000};
    milliseconds max_eject_time{10'000};
    /// Largest share of the pool that may be ejected at once.
    double max_ejected_share = 0.34;
    /// Time in which a cold upstream works up to its full share.
    milliseconds slow_start{5'000};
    /// Age from which on a hint about admission is not believed.
    milliseconds hint_lifetime{200};
    /// Time in which a refusal counts against an upstream.
    milliseconds refusal_memory{500};
};

/// Why no upstream was chosen.
enum class route_failure
{
    /// There is no candidate left.
    no_candidate,
    /// All candidates shed calls of this rank now.
    shed
};

/// A choice among candidates.
struct route_choice
{
    std::optional<node_id> node;
    route_failure failure = route_failure::no_candidate;
};

/// State of the choice for one service on one calling node. Not thread-safe.
class router
{
public:
    explicit router(router_options options);

    /// Chooses among `candidates`, and takes one of `tried` only if there is
    /// no other. `random` is any 64 random bits.
    route_choice choose(std::span<route_candidate const> candidates,
                        std::set<node_id> const& tried, request_rank rank,
                        mono_time now, std::uint64_t random);

    /// Notes that a call was sent.
    void on_start(node_id const& node, mono_time now);
    /// Notes how it ended; call once for each `on_start`.
    void on_finish(node_id const& node, mono_time now, microseconds latency,
                   route_result result);
    /// Notes the load that came with an answer.
    void on_hint(node_id const& node, load_hint const& hint, mono_time now);
    /// Drops what is known of nodes that are not among `candidates`.
    void retain(std::span<route_candidate const> candidates);

    /// Lowest threshold among the candidates, for callers one hop up; 0 if
    /// one of them admits everything or is not known.
    [[nodiscard]] request_rank
    lowest_threshold(std::span<route_candidate const> candidates,
                     mono_time now) const;

    /// Whether the node is ejected now.
    [[nodiscard]] bool is_ejected(node_id const& node, mono_time now) const;

private:
    struct target
    {
        int in_flight = 0;
        // Weighted mean of completed calls; 0 until there was one.
        double latency_us = 0;
        int failures_in_row = 0;
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
    [[nodiscard]] double score(route_candidate const& candidate,
                               mono_time now) const;
    [[nodiscard]] double typical_latency() const;
    void eject_if_allowed(target& item, mono_time now);

    router_options options_;
    std::map<node_id, target> targets_;
};

} // namespace pollenhall
