// Crash suspicions that peers gossip. A new suspicion is added to the next few
// datagrams. A node that misses all of them, because it was cut off or has only
// started since, finds out from the hash in the pings of its peers.

#pragma once

#include <pollenhall/crash_guard.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace pollenhall
{

/// Limit on the suspicions in one datagram.
inline constexpr std::size_t max_suspicions_per_datagram = 16;

/// Settings of `suspicion_gossip`.
struct suspicion_gossip_options
{
    /// Limit on known suspicions.
    std::size_t max_known = 4'096;
    /// Limit on the suspicions that are sent to a peer with another hash at
    /// once.
    std::size_t max_per_sync = 64;
    /// Suspicions that expire earlier are not part of the hash: they expire on
    /// each node at a slightly different time.
    milliseconds min_synced_time_left{5'000};
};

/// The suspicions known to one node. Not thread-safe.
class suspicion_gossip
{
public:
    explicit suspicion_gossip(suspicion_gossip_options options = {});

    /// Adds a suspicion and queues it for `transmissions` datagrams. Returns
    /// false if it is known already, has expired or exceeds the limit.
    bool add(crash_suspicion const& suspicion, int transmissions,
             mono_time now);
    /// Returns the queued suspicions for one datagram.
    std::vector<crash_suspicion> take_queued(mono_time now);
    /// Number of datagrams that contain each queued suspicion once.
    [[nodiscard]] std::size_t queued_datagrams() const;
    /// Returns a hash by which peers compare what they know.
    [[nodiscard]] std::uint64_t hash(mono_time now) const;
    /// Returns suspicions for a peer with another hash: those of requests that
    /// ran at several crashes first, the others in random order, so that
    /// repeated calls return all of them.
    [[nodiscard]] std::vector<crash_suspicion> for_sync(std::mt19937_64& random,
                                                        mono_time now) const;

private:
    using key = std::pair<fingerprint, crash_id>;
    struct record
    {
        bool confirmed = false;
        mono_time expires{};
        int transmissions_left = 0;
    };
    using records = std::map<key, record>;

    [[nodiscard]] bool is_synced(record const& item, mono_time now) const;
    static crash_suspicion to_suspicion(records::value_type const& item,
                                        mono_time now);

    suspicion_gossip_options options_;
    records known_;
    // Key after the last one that was sent from the queue, so that a long queue
    // is sent in turn.
    key next_queued_{};
};

} // namespace pollenhall
