// Decides whether a node receives changes from the store or from a peer, which
// is then its relay.
// When a fleet starts or goes through a rolling restart, each host writes one
// entry. If all hosts watched the store, the number of calls would grow with
// the square of the fleet size. Instead, the first few hosts of each
// availability zone, in an order that is the same at all hosts, watch the store
// as relays, and the others poll the relays in turn. Relays also poll each
// other, across zones: a relay that is partitioned from the store does not
// notice before its watch times out, and this may happen to all relays of a
// zone at the same time.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <optional>
#include <vector>

namespace pollenhall::mesh
{

/// Settings of `store_relays`.
struct store_relay_options
{
    zone_name own_zone;
    host_address own_host;
    /// Hosts of a zone per relay. Each host polls a relay 1.4 times a second
    /// with about 300 bytes in both directions together. That is 10 KB/s at a
    /// relay, out of 12 KB/s that a node may use for control traffic.
    std::size_t hosts_per_relay = 24;
    /// Minimum number of relays in a zone. One relay is not enough, because it
    /// may be cut off from the store without noticing.
    std::size_t min_relays = 2;
    /// The same if all hosts are in one zone, because two hosts may be
    /// partitioned from the store at the same time.
    std::size_t min_relays_of_single_zone = 3;
    /// Time for which a relay is not polled after it could not be reached or
    /// did not receive changes itself. Doubles with each failure up to
    /// `max_pause`.
    milliseconds initial_pause{500};
    milliseconds max_pause{4'000};
};

/// Chooses the source of store changes for one node. Not thread-safe.
class store_relays
{
public:
    explicit store_relays(store_relay_options options);

    /// Replaces the known hosts, including those that accept no work.
    void set_hosts(std::vector<host_entry> const& hosts);
    /// Returns the relay to poll next, or an empty optional if the node must
    /// use the store itself. Rotates over the relays, so that an unresponsive
    /// one delays changes by one request only.
    [[nodiscard]] std::optional<host_address> choose(mono_time now);
    /// Returns the relay that this node, as a relay itself, polls next. Rotates
    /// over all relays but itself; empty if this node is not a relay or there
    /// is no other.
    [[nodiscard]] std::optional<host_address> choose_other_relay(mono_time now);
    /// Whether a poll of this relay must ask for an immediate response. After a
    /// relay has failed, each other one is polled so once: several unresponsive
    /// relays would otherwise delay a configuration for over 2 s.
    [[nodiscard]] bool must_verify(host_address const& relay) const;
    /// Whether the node is a relay when all relays are reachable.
    [[nodiscard]] bool is_default_relay() const;
    /// The hosts of the zone that are assigned to this node for probing; none
    /// unless it is a relay.
    [[nodiscard]] std::vector<host_address> assigned_hosts() const;
    /// Resets the pause of a relay that has responded.
    void on_response(host_address const& relay);
    /// Skips a relay for its next pause.
    void on_failure(host_address const& relay, mono_time now);

private:
    struct candidate
    {
        host_address host;
        // Hash of the address, by which the candidates are sorted.
        std::uint64_t order = 0;
        mono_time paused_until{};
        milliseconds pause{0};
        // It has not responded since a relay failed.
        bool unverified = false;
    };

    // Number of relays of a zone with `candidates` hosts.
    [[nodiscard]] std::size_t relay_count(std::size_t candidates) const;
    // The same for the zone of this node.
    [[nodiscard]] std::size_t own_relay_count() const
    {
        return relay_count(candidates_.size());
    }
    // Index of this node in candidates_.
    [[nodiscard]] std::size_t own_position() const;
    [[nodiscard]] candidate* find(host_address const& host);

    store_relay_options options_;
    // This host and the hosts of its zone that accept work, sorted by `order`.
    std::vector<candidate> candidates_;
    // The relays of other zones.
    std::vector<candidate> remote_relays_;
    // All other hosts of the zone.
    std::vector<host_address> zone_peers_;
    // Count polls, to rotate over the relays.
    std::size_t next_relay_ = 0;
    std::size_t next_other_relay_;
};

} // namespace pollenhall::mesh
