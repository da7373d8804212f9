// Compares departures with stored entries, and chooses and counts the peers
// that hold one.

#include <pollenhall/mesh/departures.hpp>

#include <pollenhall/hashing.hpp>

#include <algorithm>

namespace pollenhall::mesh
{

bool contains_departure(host_entry const& stored, host_entry const& departing)
{
    if (stored.started && departing.started &&
        *stored.started > *departing.started)
        return true;
    return stored.incarnation == departing.incarnation &&
           stored.started == departing.started &&
           (stored.left || !departing.left) &&
           (stored.left || stored.draining || !departing.draining);
}

bool is_written_after(host_entry const& entry, host_entry const& known)
{
    if (entry.boot != known.boot)
        return entry.boot > known.boot;
    if (entry.started && known.started && *entry.started != *known.started)
        return *entry.started > *known.started;
    if (entry.incarnation != known.incarnation)
        return false;
    if (entry.sequence != known.sequence)
        return entry.sequence > known.sequence;
    // The same start of an upstream and of a node takes none of these back.
    auto const adds = [](host_entry const& later, host_entry const& earlier)
    {
        return (later.left && !earlier.left) ||
               (later.draining && !earlier.draining) ||
               (later.stopping && !earlier.stopping);
    };
    return adds(entry, known) && !adds(known, entry);
}

departure_replicas::departure_replicas(departure_replica_options options)
    : options_(std::move(options))
{
}

void departure_replicas::reset()
{
    holders_.clear();
    asked_.clear();
    failed_.clear();
}

std::vector<host_address> departure_replicas::candidates(
    std::map<host_address, host_entry> const& hosts) const
{
    std::vector<host_address> peers;
    for (auto const& [host, entry] : hosts)
        if (host != options_.own_host && !entry.stopping)
            peers.push_back(host);
    // The order differs from host to host, so that entries spread over all
    // peers.
    auto const order = [&](host_address const& peer)
    { return hash_text(options_.own_host.value() + " " + peer.value()); };
    std::sort(peers.begin(), peers.end(),
              [&](auto const& left, auto const& right)
              { return order(left) < order(right); });
    return peers;
}

std::vector<host_address>
departure_replicas::next_peers(std::map<host_address, host_entry> const& hosts)
{
    std::vector<host_address> next;
    auto const peers = candidates(hosts);
    auto const add = [&](std::set<host_address> const& excluded)
    {
        for (auto const& peer : peers)
            if (holders_.size() + asked_.size() < options_.fanout &&
                !holders_.contains(peer) && !asked_.contains(peer) &&
                !excluded.contains(peer))
            {
                asked_.insert(peer);
                next.push_back(peer);
            }
    };
    add(failed_);
    if (next.empty() && asked_.empty())
    {
        failed_.clear();
        add({});
    }
    return next;
}

void departure_replicas::on_held(host_address const& peer)
{
    asked_.erase(peer);
    holders_.insert(peer);
}

void departure_replicas::on_failure(host_address const& peer)
{
    asked_.erase(peer);
    failed_.insert(peer);
}

bool departure_replicas::is_held(
    std::map<host_address, host_entry> const& hosts) const
{
    auto const needed =
        std::min(options_.min_holders, candidates(hosts).size());
    return needed > 0 && holders_.size() >= needed;
}

departure_keeper::departure_keeper(departure_keeper_options options)
    : options_(options)
{
}

void departure_keeper::keep(host_entry entry, mono_time now)
{
    auto const host = entry.host;
    if (kept_.size() >= options_.max_entries && !kept_.contains(host))
        kept_.erase(std::min_element(kept_.begin(), kept_.end(),
                                     [](auto const& left, auto const& right) {
                                         return left.second.expires <
                                                right.second.expires;
                                     }));
    kept_.insert_or_assign(host,
                           kept_entry{.entry = std::move(entry),
                                      .expires = now + options_.lifetime});
}

bool departure_keeper::contains(host_entry const& departing) const
{
    auto const kept = kept_.find(departing.host);
    return kept != kept_.end() &&
           contains_departure(kept->second.entry, departing);
}

std::vector<host_entry>
departure_keeper::pending(std::map<host_address, host_entry> const& stored,
                          mono_time now)
{
    std::erase_if(
        kept_,
        [&](auto const& item)
        {
            auto const known = stored.find(item.first);
            return now >= item.second.expires ||
                   (known != stored.end() &&
                    contains_departure(known->second, item.second.entry));
        });
    std::vector<host_entry> entries;
    entries.reserve(kept_.size());
    for (auto const& [host, item] : kept_)
        entries.push_back(item.entry);
    return entries;
}

} // namespace pollenhall::mesh
