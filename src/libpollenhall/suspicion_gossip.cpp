// Queue, hash and synchronisation of crash suspicions.

#include <pollenhall/hashing.hpp>
#include <pollenhall/suspicion_gossip.hpp>

#include <algorithm>

namespace pollenhall
{

suspicion_gossip::suspicion_gossip(suspicion_gossip_options options)
    : options_(options)
{
}

bool suspicion_gossip::add(crash_suspicion const& suspicion, int transmissions,
                           mono_time now)
{
    if (suspicion.time_left <= milliseconds{0})
        return false;
    key const id{suspicion.content, suspicion.crash};
    auto found = known_.find(id);
    if (found != known_.end() && now < found->second.expires &&
        (found->second.confirmed || !suspicion.confirmed))
        return false;
    if (found == known_.end())
    {
        if (known_.size() >= options_.max_known)
            std::erase_if(known_, [&](auto const& item)
                          { return now >= item.second.expires; });
        if (known_.size() >= options_.max_known)
            return false;
        found = known_.emplace(id, record{}).first;
    }
    found->second = {.confirmed = suspicion.confirmed,
                     .expires = now + suspicion.time_left,
                     .transmissions_left = transmissions};
    return true;
}

std::vector<crash_suspicion> suspicion_gossip::take_queued(mono_time now)
{
    std::vector<crash_suspicion> result;
    auto position = known_.lower_bound(next_queued_);
    for (auto left = known_.size();
         left > 0 && result.size() < max_suspicions_per_datagram; --left)
    {
        if (position == known_.end())
            position = known_.begin();
        auto& item = *position++;
        if (item.second.transmissions_left <= 0 || now >= item.second.expires)
            continue;
        --item.second.transmissions_left;
        result.push_back(to_suspicion(item, now));
    }
    next_queued_ = position == known_.end() ? key{} : position->first;
    return result;
}

std::size_t suspicion_gossip::queued_datagrams() const
{
    auto const queued = static_cast<std::size_t>(std::count_if(
        known_.begin(), known_.end(),
        [](auto const& item) { return item.second.transmissions_left > 0; }));
    return (queued + max_suspicions_per_datagram - 1) /
           max_suspicions_per_datagram;
}

std::uint64_t suspicion_gossip::hash(mono_time now) const
{
    std::uint64_t result = 0;
    for (auto const& [id, item] : known_)
        if (is_synced(item, now))
            result ^= combine_hashes(
                combine_hashes(id.first.value(), id.second.value()),
                item.confirmed ? 1 : 0);
    return result;
}

std::vector<crash_suspicion> suspicion_gossip::for_sync(std::mt19937_64& random,
                                                        mono_time now) const
{
    std::vector<crash_suspicion> result;
    std::map<fingerprint, int> crashes;
    for (auto const& item : known_)
        if (is_synced(item.second, now))
        {
            result.push_back(to_suspicion(item, now));
            ++crashes[item.first.first];
        }
    std::shuffle(result.begin(), result.end(), random);
    std::stable_partition(result.begin(), result.end(),
                          [&](auto const& item)
                          { return crashes.at(item.content) > 1; });
    result.resize(std::min(result.size(), options_.max_per_sync));
    return result;
}

bool suspicion_gossip::is_synced(record const& item, mono_time now) const
{
    return item.expires - now > options_.min_synced_time_left;
}

crash_suspicion suspicion_gossip::to_suspicion(records::value_type const& item,
                                               mono_time now)
{
    return {.content = item.first.first,
            .crash = item.first.second,
            .time_left = std::chrono::duration_cast<milliseconds>(
                item.second.expires - now),
            .confirmed = item.second.confirmed};
}

} // namespace pollenhall
