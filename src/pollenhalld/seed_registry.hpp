// First peers for strangers: a few nodes of each zone keep their address in
// the store under a lease, and a node that knows nobody reads them.

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

/// The node's part in the registry. `tick` belongs to the control thread.
class seed_registry
{
public:
    using seed_handler = std::function<void(std::vector<peer_endpoint>)>;

    /// `on_seeds` is called on the store's thread.
    seed_registry(node_settings const& settings, store_agent& store,
                  seed_handler on_seeds);

    /// Keeps this node registered while `is_seed`, and looks for peers while
    /// `knows_nobody`.
    void tick(mono_time now, bool is_seed, bool knows_nobody);

private:
    void keep_registered(etcd_store& store);
    void read_seeds(etcd_store& store);

    node_settings const& settings_;
    store_agent& store_;
    seed_handler on_seeds_;
    mono_time next_registration_{};
    mono_time next_search_{};
    milliseconds search_period_{0};
    // Used by jobs only, one at a time.
    std::optional<lease_id> lease_;
};

} // namespace pollenhall
