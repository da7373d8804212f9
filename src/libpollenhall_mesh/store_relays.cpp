// Sorts the hosts of a zone and rotates over the first of them.

#include <pollenhall/mesh/store_relays.hpp>

#include <pollenhall/hashing.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace pollenhall::mesh
{

store_relays::store_relays(store_relay_options options)
    : options_(std::move(options)),
      // So that relays do not all poll the same one at the same time.
      next_other_relay_(hash_text(options_.own_host.value()))
{
}

void store_relays::set_hosts(std::vector<host_entry> const& hosts)
{
    auto old = std::move(candidates_);
    std::move(remote_relays_.begin(), remote_relays_.end(),
              std::back_inserter(old));
    auto const make_candidate = [&](host_address const& host)
    {
        auto const known =
            std::find_if(old.begin(), old.end(),
                         [&](auto const& item) { return item.host == host; });
        return known != old.end()
                   ? *known
                   : candidate{.host = host, .order = hash_text(host.value())};
    };
    std::map<zone_name, std::vector<candidate>> zones;
    zone_peers_.clear();
    for (auto const& entry : hosts)
    {
        if (entry.host == options_.own_host)
            continue;
        if (entry.zone == options_.own_zone)
            zone_peers_.push_back(entry.host);
        // A host whose upstream accepts no work may be about to stop.
        if (entry.ready && !entry.stopping)
            zones[entry.zone].push_back(make_candidate(entry.host));
    }
    zones[options_.own_zone].push_back(make_candidate(options_.own_host));
    for (auto& [zone, candidates] : zones)
        std::sort(candidates.begin(), candidates.end(),
                  [](auto const& left, auto const& right)
                  { return left.order < right.order; });
    candidates_ = std::move(zones.extract(options_.own_zone).mapped());
    remote_relays_.clear();
    for (auto& [zone, candidates] : zones)
    {
        candidates.resize(
            std::min(candidates.size(), relay_count(candidates.size())));
        std::move(candidates.begin(), candidates.end(),
                  std::back_inserter(remote_relays_));
    }
}

std::size_t store_relays::relay_count(std::size_t candidates) const
{
    return std::max(remote_relays_.empty() ? options_.min_relays_of_single_zone
                                           : options_.min_relays,
                    (candidates + options_.hosts_per_relay - 1) /
                        options_.hosts_per_relay);
}

std::optional<host_address> store_relays::choose(mono_time now)
{
    std::vector<candidate const*> relays;
    for (auto const& item : candidates_)
    {
        if (relays.size() == own_relay_count())
            break;
        if (item.host == options_.own_host)
            return std::nullopt;
        if (now >= item.paused_until)
            relays.push_back(&item);
    }
    if (relays.empty())
        return std::nullopt;
    return relays[next_relay_++ % relays.size()]->host;
}

std::optional<host_address> store_relays::choose_other_relay(mono_time now)
{
    if (!is_default_relay())
        return std::nullopt;
    std::vector<candidate const*> relays;
    auto const add = [&](candidate const& item)
    {
        if (now >= item.paused_until)
            relays.push_back(&item);
    };
    auto const own_zone_relays =
        std::min(own_relay_count(), candidates_.size());
    for (std::size_t i = 0; i < own_zone_relays; ++i)
        if (candidates_[i].host != options_.own_host)
            add(candidates_[i]);
    for (auto const& item : remote_relays_)
        add(item);
    if (relays.empty())
        return std::nullopt;
    return relays[next_other_relay_++ % relays.size()]->host;
}

std::vector<host_address> store_relays::assigned_hosts() const
{
    std::vector<host_address> assigned;
    if (!is_default_relay())
        return assigned;
    auto const relays = std::min(own_relay_count(), candidates_.size());
    for (auto const& host : zone_peers_)
        if (hash_text(host.value()) % relays == own_position())
            assigned.push_back(host);
    return assigned;
}

std::size_t store_relays::own_position() const
{
    auto const own = std::find_if(candidates_.begin(), candidates_.end(),
                                  [&](auto const& item)
                                  { return item.host == options_.own_host; });
    return static_cast<std::size_t>(own - candidates_.begin());
}

bool store_relays::is_default_relay() const
{
    return candidates_.empty() || own_position() < own_relay_count();
}

store_relays::candidate* store_relays::find(host_address const& host)
{
    for (auto* list : {&candidates_, &remote_relays_})
        for (auto& item : *list)
            if (item.host == host)
                return &item;
    return nullptr;
}

bool store_relays::must_verify(host_address const& relay) const
{
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&](auto const& item)
                       { return item.host == relay && item.unverified; });
}

void store_relays::on_response(host_address const& relay)
{
    if (auto* item = find(relay))
    {
        item->pause = milliseconds{0};
        item->unverified = false;
    }
}

void store_relays::on_failure(host_address const& relay, mono_time now)
{
    auto* item = find(relay);
    if (item == nullptr)
        return;
    item->pause =
        std::clamp(item->pause * 2, options_.initial_pause, options_.max_pause);
    item->paused_until = now + item->pause;
    for (auto* list : {&candidates_, &remote_relays_})
        for (auto& other : *list)
            other.unverified = true;
}

} // namespace pollenhall::mesh
