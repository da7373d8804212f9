// Crash suspicions that a host knows and the ones that it publishes in its host
// entry. A crashing request may be sent again through any node at any time, so
// a suspicion must reach all nodes and outlast the process that reported it,
// although that process often ends together with the upstream.

#pragma once

#include <pollenhall/crash_guard.hpp>
#include <pollenhall/mesh/placement.hpp>

#include <map>
#include <utility>
#include <vector>

namespace pollenhall::mesh
{

/// Settings of `suspicion_ledger`.
struct suspicion_ledger_options
{
    /// Time after which a host publishes a suspicion that it has heard and that
    /// no host entry contains: the reporting node has ended, or is cut off from
    /// the store.
    milliseconds adoption_delay{1'000};
    /// Limit on the suspicions in a host entry. Those of requests that ran at
    /// several crashes are kept first, then those that expire last.
    std::size_t max_published = 64;
    /// Limit on the time until a suspicion expires, whatever its sender says.
    milliseconds max_lifetime = max_suspicion_lifetime;
    /// Limit on all known suspicions.
    std::size_t max_known = 8'192;
};

/// The crash suspicions of one host. Not thread-safe.
class suspicion_ledger
{
public:
    explicit suspicion_ledger(suspicion_ledger_options options = {});

    /// Adds suspicions from crashes that this node has observed; they are
    /// published. Returns the new ones.
    std::vector<crash_suspicion>
    report(std::vector<crash_suspicion> const& suspicions, wall_time now);
    /// Adds suspicions that a peer has sent. Returns the new ones.
    std::vector<crash_suspicion>
    hear(std::vector<crash_suspicion> const& suspicions, wall_time now);
    /// Adds the suspicions in a host entry. Those in the entry of this host,
    /// which an earlier process wrote, are published further. Returns the new
    /// ones.
    std::vector<crash_suspicion>
    read_entry(std::vector<published_suspicion> const& suspicions,
               bool own_entry, wall_time now);
    /// Publishes suspicions that no host entry contained in time. Returns
    /// whether there are any.
    bool adopt(wall_time now);
    /// Returns the suspicions for the entry of this host, in a fixed order.
    [[nodiscard]] std::vector<published_suspicion>
    published(wall_time now) const;
    /// Whether a suspicion is waiting to be adopted.
    [[nodiscard]] bool has_unpublished() const;

private:
    struct record
    {
        bool confirmed = false;
        wall_time expires{};
        wall_time heard{};
        // Whether some host entry contains the suspicion.
        bool in_entry = false;
        // Whether this host publishes it.
        bool own = false;
    };
    using key = std::pair<fingerprint, crash_id>;

    // Returns the record of a suspicion and whether it says something new, or
    // null if there are too many.
    std::pair<record*, bool> add(key const& id, bool confirmed,
                                 wall_time expires, wall_time now);
    std::vector<crash_suspicion>
    add_all(std::vector<crash_suspicion> const& suspicions, bool own,
            wall_time now);

    suspicion_ledger_options options_;
    std::map<key, record> known_;
};

} // namespace pollenhall::mesh
