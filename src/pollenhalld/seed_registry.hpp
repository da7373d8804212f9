// Peer discovery through the store: a few nodes of each zone register their
// address under a lease, and a node without live peers reads the addresses.

#pragma once

#include "store_agent.hpp"

#include <pollenhall/io/node_settings.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace pollenhall
{

/// Registers this node as a seed and looks up seeds. `tick` is called on the
/// control thread.
class seed_registry
{
public:
    using seed_handler = std::function<void(std::vector<peer_endpoint>)>;

    /// `on_seeds` receives the addresses found; it is called on the store
    /// agent's job thread.
    seed_registry(node_settings const& settings, store_agent& store,
                  seed_handler on_seeds);

    /// Renews this node's registration while `is_seed`, and looks up seeds
    /// while `has_no_peers`.
    void tick(mono_time now, bool is_seed, bool has_no_peers);

private:
    void keep_registered(etcd_store& store);
    void read_seeds(etcd_store& store);

    node_settings const& settings_;
    store_agent& store_;
    seed_handler on_seeds_;
    mono_time next_registration_{};
    mono_time next_search_{};
    milliseconds search_interval_{0};
    // Lease of the registration; used only by jobs on the store agent's thread.
    std::optional<lease_id> lease_;
};

} // namespace pollenhall
