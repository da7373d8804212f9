// Implements the registry of first peers.

#include "seed_registry.hpp"

#include <algorithm>

namespace pollenhall
{
namespace
{

constexpr seconds lease_time{60};
// A lease survives two renewals that are lost.
constexpr milliseconds renewal_period{20'000};
// A node that finds nobody asks less and less often.
constexpr milliseconds first_search_period{500};
constexpr milliseconds last_search_period{30'000};

} // namespace

seed_registry::seed_registry(node_settings const& settings, store_agent& store,
                             seed_handler on_seeds)
    : settings_(settings), store_(store), on_seeds_(std::move(on_seeds))
{
}

void seed_registry::tick(mono_time now, bool is_seed, bool knows_nobody)
{
    if (is_seed && now >= next_registration_)
    {
        next_registration_ = now + renewal_period;
        store_.submit([this](etcd_store& store) { keep_registered(store); });
    }
    if (knows_nobody && now >= next_search_)
    {
        search_period_ = std::clamp(search_period_ * 2, first_search_period,
                                    last_search_period);
        next_search_ = now + search_period_;
        store_.submit([this](etcd_store& store) { read_seeds(store); });
    }
}

void seed_registry::keep_registered(etcd_store& store)
{
    if (lease_ && store.keep_alive(*lease_).ok())
        return;
    lease_.reset();
    auto const lease = store.grant_lease(lease_time);
    if (!lease.ok())
        return;
    store_write const entry{
        .key = settings_.store_prefix + "seeds/" + settings_.zone.value() +
               "/" + settings_.name.value(),
        .value = settings_.address + ":" + std::to_string(settings_.peer_port),
        .lease = *lease};
    if (store.commit({}, {entry}).ok())
        lease_ = *lease;
}

void seed_registry::read_seeds(etcd_store& store)
{
    auto const view = store.read_prefix(settings_.store_prefix + "seeds/");
    if (!view.ok())
        return;
    std::vector<peer_endpoint> seeds;
    for (auto const& record : view->records)
    {
        if (auto const endpoint = parse_endpoint(record.value))
            seeds.push_back(*endpoint);
    }
    on_seeds_(std::move(seeds));
}

} // namespace pollenhall
