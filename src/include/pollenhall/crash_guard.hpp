// Recognises a request that crashes each upstream that runs it. Every crash
// casts suspicion on what ran at that moment; a fingerprint that was there at
// several crashes is refused for a while. Suspicions are shared by gossip.

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

/// Tells one crash of an upstream from all others.
using crash_id = strong_value<struct crash_id_tag, std::uint64_t>;

/// A fingerprint that ran on an upstream when it crashed.
struct crash_suspicion
{
    fingerprint content;
    crash_id crash;
    /// Time for which the suspicion is held.
    milliseconds time_left{0};

    bool operator==(crash_suspicion const&) const = default;
};

/// Settings of `crash_guard`.
struct crash_guard_options
{
    /// Crashes from which on a fingerprint is refused.
    std::size_t crashes_to_refuse = 2;
    /// Time for which a suspicion is held.
    milliseconds memory{60'000};
    /// Most suspicions that one crash casts.
    std::size_t max_per_crash = 64;
    /// Most fingerprints that are remembered, suspected or completed.
    std::size_t max_remembered = 4'096;
};

/// What one node knows of crashing requests. Not thread-safe.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options options = {});

    /// Notes a crash; `in_flight` is what ran, latest start first. Returns
    /// the suspicions to share. Fingerprints that completed lately are not
    /// suspected.
    std::vector<crash_suspicion>
    on_crash(crash_id crash, std::span<fingerprint const> in_flight,
             mono_time now);
    /// Takes in a suspicion from a peer. Returns whether it is new.
    bool add(crash_suspicion const& suspicion, mono_time now);
    /// Notes a completed run, which clears the fingerprint of suspicion.
    void on_completed(fingerprint content);

    /// Whether a request must not run: it was at too many crashes, or it was
    /// at one and only one healthy upstream is left.
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
    // Ring of the latest completions, and the same as a set.
    std::deque<fingerprint> completed_order_;
    std::set<fingerprint> completed_;
};

} // namespace pollenhall
