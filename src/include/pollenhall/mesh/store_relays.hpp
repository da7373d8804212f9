// Decides whether a node asks the store for changes or a peer that does.
// Load pattern: a fleet that starts, or is restarted in turn, writes one
// entry for each host; if all hosts watch, the calls grow with the square of
// the fleet. The first few hosts of each availability zone, in an order that
// all agree on, watch the store; the others ask these in turn.

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
    /// Hosts of a zone for each one that watches the store. Each asks some
    /// relay 1.4 times a second with about 300 bytes both ways: 10 KB/s at a
    /// relay, of 12 that a node may use for control.
    std::size_t hosts_per_relay = 24;
    /// Relays of a zone at least: one may be cut off without a sign.
    std::size_t least_relays = 2;
    /// Pause before a relay is asked again that could not be reached or that
    /// does not hear from the store. Doubles up to `most_pause`.
    milliseconds first_pause{500};
    milliseconds most_pause{4'000};
};

/// Whom one node asks. Not thread-safe.
class store_relays
{
public:
    explicit store_relays(store_relay_options options);

    /// Replaces the hosts that are known, those that take no work included.
    void set_hosts(std::vector<host_entry> const& hosts);
    /// The peer to ask next; empty if the node asks the store itself. Turns
    /// from relay to relay, so that one that has fallen silent holds news up
    /// for one question only.
    [[nodiscard]] std::optional<host_address> choose(mono_time now);
    /// Whether the node is one of the relays while all of them are reached.
    [[nodiscard]] bool is_first_choice() const;
    /// The hosts of the zone that this node looks after; none unless it is a
    /// relay.
    [[nodiscard]] std::vector<host_address> looked_after() const;
    void on_answer(host_address const& relay);
    void on_failure(host_address const& relay, mono_time now);

private:
    struct candidate
    {
        host_address host;
        std::uint64_t order = 0;
        mono_time paused_until{};
        milliseconds pause{0};
    };

    [[nodiscard]] std::size_t relay_count() const;
    // Of this node among the candidates.
    [[nodiscard]] std::size_t own_position() const;
    [[nodiscard]] candidate* find(host_address const& host);

    store_relay_options options_;
    // Hosts of the own zone that take work, and this one, in the order of the
    // fleet.
    std::vector<candidate> candidates_;
    // All other hosts of the zone.
    std::vector<host_address> zone_;
    std::size_t turn_ = 0;
};

} // namespace pollenhall::mesh
