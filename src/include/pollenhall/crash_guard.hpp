// Detects requests that crash the upstreams that run them. Each crash adds a
// suspicion to every request that was running; a request whose fingerprint was
// running at several crashes is refused for a limited time. Nodes share
// suspicions, because a crashing request may be sent again through any node.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace pollenhall
{

/// Identifies one crash of an upstream, so that reports of it by several
/// connections or nodes count once.
using crash_id = strong_value<struct crash_id_tag, std::uint64_t>;

/// Longest time until a suspicion from another node or the store expires.
inline constexpr milliseconds max_suspicion_lifetime{3'600'000};

/// A request fingerprint that was running on an upstream when it crashed.
struct crash_suspicion
{
    fingerprint content;
    crash_id crash;
    /// Time until the suspicion expires.
    milliseconds time_left{0};
    /// Whether the crash was observed. False if only the connection to the node
    /// beside the upstream was lost, so that the upstream may still run.
    bool confirmed = true;

    bool operator==(crash_suspicion const&) const = default;
};

/// A crash suspicion in the store. It outlasts the process that wrote it, so
/// that the time is absolute.
struct published_suspicion
{
    fingerprint content;
    crash_id crash;
    bool confirmed = true;
    wall_time expires{};

    bool operator==(published_suspicion const&) const = default;
};

/// Settings of `crash_guard`.
struct crash_guard_options
{
    /// Number of confirmed crashes after which a fingerprint is refused.
    std::size_t min_crashes_to_refuse = 2;
    /// Number of confirmed and possible crashes after which a fingerprint is
    /// refused. Higher, because nodes also end for other reasons.
    std::size_t min_possible_crashes_to_refuse = 3;
    /// Time after which a suspicion expires. A crashing request may be sent for
    /// as long as its sender is not repaired.
    milliseconds suspicion_lifetime{600'000};
    /// Time after the completion of a fingerprint in which it is not suspected.
    milliseconds completion_lifetime{10'000};
    /// Limit on suspicions from one crash.
    std::size_t max_suspicions_per_crash = 64;
    /// Limit on suspicions from one possible crash. Low, because each node that
    /// ends causes some at every node that had sent requests to it.
    std::size_t max_suspicions_per_possible_crash = 4;
    /// Limit on stored fingerprints, for suspected and completed ones each.
    std::size_t max_fingerprints = 4'096;
};

/// Crash suspicions known to one node. Not thread-safe.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options options = {});

    /// Records a crash; `in_flight` holds the fingerprints that were running,
    /// latest start first. Returns the new suspicions, to be shared with other
    /// nodes. Fingerprints that completed recently are not suspected. If there
    /// are too many, those that are suspected already go first.
    std::vector<crash_suspicion>
    on_crash(crash_id crash, std::span<fingerprint const> in_flight,
             mono_time now, bool confirmed = true);
    /// Adds a suspicion received from a peer; returns whether it is new.
    bool add(crash_suspicion const& suspicion, mono_time now);
    /// Records a completed run, which removes all suspicions of the
    /// fingerprint.
    void on_completed(fingerprint content, mono_time now);

    /// Returns whether a request must be refused: it was running at too many
    /// crashes, or at one confirmed crash while at most one healthy upstream is
    /// left.
    [[nodiscard]] bool refuses(fingerprint content,
                               std::size_t healthy_upstreams, mono_time now);

private:
    void expire(mono_time now);
    [[nodiscard]] bool completed_recently(fingerprint content,
                                          mono_time now) const;

    crash_guard_options options_;
    struct suspicion_set
    {
        // Each crash, and whether it is confirmed.
        std::map<crash_id, bool> crashes;
        mono_time expires{};
    };
    std::map<fingerprint, suspicion_set> suspected_;
    // Time of the last completion of each fingerprint, and the fingerprints in
    // the order of their first one; both have the same elements.
    std::map<fingerprint, mono_time> completed_;
    std::deque<fingerprint> completed_order_;
};

} // namespace pollenhall
