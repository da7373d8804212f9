// Detects requests that crash the upstreams that run them. Each crash adds a
// suspicion to every request that was running; a request whose fingerprint was
// running at several crashes is refused for a limited time. Nodes share
// suspicions by gossip.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace pollenhall
{

/// Identifies one crash of an upstream.
using crash_id = strong_value<struct crash_id_tag, std::uint64_t>;

/// A request fingerprint that was running on an upstream when it crashed.
struct crash_suspicion
{
    fingerprint content;
    crash_id crash;
    /// Time until the suspicion expires.
    milliseconds time_left{0};

    bool operator==(crash_suspicion const&) const = default;
};

/// Settings of `crash_guard`.
struct crash_guard_options
{
    /// Number of crashes after which a fingerprint is refused.
    std::size_t min_crashes_to_refuse = 2;
    /// Time after which a suspicion expires.
    milliseconds suspicion_lifetime{60'000};
    /// Limit on suspicions from one crash.
    std::size_t max_suspicions_per_crash = 64;
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
    /// nodes. Fingerprints that completed recently are not suspected.
    std::vector<crash_suspicion>
    on_crash(crash_id crash, std::span<fingerprint const> in_flight,
             mono_time now);
    /// Adds a suspicion received from a peer; returns whether it is new.
    bool add(crash_suspicion const& suspicion, mono_time now);
    /// Records a completed run, which removes all suspicions of the
    /// fingerprint.
    void on_completed(fingerprint content);

    /// Returns whether a request must be refused: it was running at too many
    /// crashes, or at one crash while at most one healthy upstream is left.
    [[nodiscard]] bool refuses(fingerprint content,
                               std::size_t healthy_upstreams, mono_time now);

private:
    void expire(mono_time now);

    crash_guard_options options_;
    struct suspicion_set
    {
        std::set<crash_id> crashes;
        mono_time expires{};
    };
    std::map<fingerprint, suspicion_set> suspected_;
    // Completed fingerprints, oldest first, and the same fingerprints as a set.
    std::deque<fingerprint> completed_order_;
    std::set<fingerprint> completed_;
};

} // namespace pollenhall
