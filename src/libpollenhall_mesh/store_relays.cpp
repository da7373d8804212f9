// Sorts the hosts of a zone and rotates over the first of them.

#include <pollenhall/mesh/store_relays.hpp>

#include <pollenhall/hashing.hpp>

#include <algorithm>

namespace pollenhall::mesh
{

store_relays::store_relays(store_relay_options options)
    : options_(std::move(options))
{
}

void store_relays::set_hosts(std::vector<host_entry> const& hosts)
{
    auto const old = std::move(candidates_);
    candidates_.clear();
    auto const add = [&](host_address const& host)
    {
        auto const known =
            std::find_if(old.begin(), old.end(),
                         [&](auto const& item) { return item.host == host; });
        candidates_.push_back(
            known != old.end()
                ? *known
                : candidate{.host = host, .order = hash_text(host.value())});
    };
    zone_peers_.clear();
    for (auto const& entry : hosts)
        if (entry.zone == options_.own_zone && entry.host != options_.own_host)
            zone_peers_.push_back(entry.host);
    for (auto const& entry : hosts)
        // A host whose upstream accepts no work may be about to stop.
        if (entry.zone == options_.own_zone && entry.ready && !entry.stopping &&
            entry.host != options_.own_host)
            add(entry.host);
    add(options_.own_host);
    std::sort(candidates_.begin(), candidates_.end(),
              [](auto const& left, auto const& right)
              { return left.order < right.order; });
}

std::size_t store_relays::relay_count() const
{
    return std::max(options_.min_relays,
                    (candidates_.size() + options_.hosts_per_relay - 1) /
                        options_.hosts_per_relay);
}

std::optional<host_address> store_relays::choose(mono_time now)
{
    std::vector<candidate const*> relays;
    for (auto const& item : candidates_)
    {
        if (relays.size() == relay_count())
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

std::vector<host_address> store_relays::assigned_hosts() const
{
    std::vector<host_address> assigned;
    if (!is_default_relay())
        return assigned;
    auto const relays = std::min(relay_count(), candidates_.size());
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
    return candidates_.empty() || own_position() < relay_count();
}

store_relays::candidate* store_relays::find(host_address const& host)
{
    auto const found =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [&](auto const& item) { return item.host == host; });
    return found == candidates_.end() ? nullptr : &*found;
}

void store_relays::on_response(host_address const& relay)
{
    if (auto* item = find(relay))
        item->pause = milliseconds{0};
}

void store_relays::on_failure(host_address const& relay, mono_time now)
{
    auto* item = find(relay);
    if (item == nullptr)
        return;
    item->pause =
        std::clamp(item->pause * 2, options_.initial_pause, options_.max_pause);
    item->paused_until = now + item->pause;
}

} // namespace pollenhall::mesh
