// Registration and lookup of seeds in the store.

#include "seed_registry.hpp"

#include <algorithm>

namespace pollenhall
{
namespace
{

constexpr seconds lease_time{60};
// A third of the lease time, so that the lease survives two lost renewals.
constexpr milliseconds renewal_interval{20'000};
// The interval between lookups doubles from the minimum to the maximum.
constexpr milliseconds min_search_interval{500};
constexpr milliseconds max_search_interval{30'000};

} // namespace

seed_registry::seed_registry(node_settings const& settings, store_agent& store,
                             seed_handler on_seeds)
    : settings_(settings), store_(store), on_seeds_(std::move(on_seeds))
{
}

void seed_registry::tick(mono_time now, bool is_seed, bool has_no_peers)
{
    if (is_seed && now >= next_registration_)
    {
        next_registration_ = now + renewal_interval;
        store_.submit([this](etcd_store& store) { keep_registered(store); });
    }
    if (has_no_peers && now >= next_search_)
    {
        search_interval_ = std::clamp(search_interval_ * 2, min_search_interval,
                                      max_search_interval);
        next_search_ = now + search_interval_;
        store_.submit([this](etcd_store& store) { read_seeds(store); });
    }
}

void seed_registry::keep_registered(etcd_store& store)
{
    auto const key = settings_.store_prefix + "seeds/" +
                     settings_.zone.value() + "/" + settings_.name.value();
    // A store that was restored from an older snapshot may have given the lease
    // to another client, so that its renewal does not show that the entry is
    // lost.
    if (lease_ && store.keep_alive(*lease_).ok())
    {
        auto const view = store.read_prefix(key);
        if (!view.ok() ||
            std::any_of(view->records.begin(), view->records.end(),
                        [&](store_record const& record)
                        { return record.key == key; }))
            return;
    }
    lease_.reset();
    auto const lease = store.grant_lease(lease_time);
    if (!lease.ok())
        return;
    store_write const entry{.key = key,
                            .value = settings_.address + ":" +
                                     std::to_string(settings_.peer_port),
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
