// Replicates the departure of an upstream to peers while its node cannot write
// the host entry. An acknowledged departure also binds later processes of the
// node, and these find only the older entry in the store. Peers write the entry
// to the store if they can, and send it to the host until the store has it.

#pragma once

#include <pollenhall/mesh/placement.hpp>
#include <pollenhall/mesh/registration.hpp>

#include <map>
#include <set>
#include <vector>

namespace pollenhall::mesh
{

/// Whether the entry `stored` makes `departing` obsolete: it has the same
/// departure, or a later start of the upstream.
[[nodiscard]] bool contains_departure(host_entry const& stored,
                                      host_entry const& departing);

/// Whether a host has written the entry `entry` after its entry `known`. False
/// if the entries do not tell.
[[nodiscard]] bool is_written_after(host_entry const& entry,
                                    host_entry const& known);

/// Settings of `departure_replicas`.
struct departure_replica_options
{
    host_address own_host;
    /// Number of peers that must hold the entry: one of them may end before the
    /// store has it.
    std::size_t min_holders = 2;
    /// Number of peers that hold the entry or are asked at the same time.
    std::size_t fanout = 3;
};

/// Chooses the peers that hold this node's departure. Not thread-safe.
class departure_replicas
{
public:
    explicit departure_replicas(departure_replica_options options);

    /// Forgets all peers, for a new departure.
    void reset();
    /// Peers to ask next; none while enough requests are open or answered.
    /// Peers that have failed are asked again after all others.
    [[nodiscard]] std::vector<host_address>
    next_peers(std::map<host_address, host_entry> const& hosts);
    void on_held(host_address const& peer);
    void on_failure(host_address const& peer);
    /// Whether enough peers hold the entry. If fewer than `min_holders` are
    /// known, all of them must.
    [[nodiscard]] bool
    is_held(std::map<host_address, host_entry> const& hosts) const;

private:
    // Peers that may hold an entry of this node, in the order of asking.
    [[nodiscard]] std::vector<host_address>
    candidates(std::map<host_address, host_entry> const& hosts) const;

    departure_replica_options options_;
    std::set<host_address> holders_;
    std::set<host_address> asked_;
    std::set<host_address> failed_;
};

/// Settings of `departure_keeper`.
struct departure_keeper_options
{
    /// Longer than an upstream runs after it has announced its departure, and
    /// longer than heartbeats are delayed.
    milliseconds lifetime{60'000};
    /// Maximum number of entries; the oldest one is dropped for a new one.
    std::size_t max_entries = 1'024;
};

/// Entries that a node keeps for its peers. Not thread-safe.
class departure_keeper
{
public:
    explicit departure_keeper(departure_keeper_options options);

    /// Keeps the entry of a host in place of an earlier one.
    void keep(host_entry entry, mono_time now);
    /// Drops entries that have expired or that the store contains; returns the
    /// others.
    std::vector<host_entry>
    pending(std::map<host_address, host_entry> const& stored, mono_time now);
    /// Whether the entry that is kept for a host makes `departing` obsolete.
    [[nodiscard]] bool contains(host_entry const& departing) const;
    [[nodiscard]] bool empty() const { return kept_.empty(); }

private:
    struct kept_entry
    {
        host_entry entry;
        mono_time expires{};
    };

    departure_keeper_options options_;
    std::map<host_address, kept_entry> kept_;
};

} // namespace pollenhall::mesh
