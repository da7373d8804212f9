// Keeps crash suspicions by request and crash, with absolute expiry times.

#include <pollenhall/mesh/suspicion_ledger.hpp>

#include <algorithm>
#include <tuple>

namespace pollenhall::mesh
{

suspicion_ledger::suspicion_ledger(suspicion_ledger_options options)
    : options_(options)
{
}

std::pair<suspicion_ledger::record*, bool>
suspicion_ledger::add(key const& id, bool confirmed, wall_time expires,
                      wall_time now)
{
    if (expires <= now)
        return {nullptr, false};
    expires = std::min(expires, now + options_.max_lifetime);
    auto found = known_.find(id);
    bool const is_new = found == known_.end();
    if (is_new)
    {
        std::erase_if(known_, [&](auto const& item)
                      { return item.second.expires <= now; });
        if (known_.size() >= options_.max_known)
            return {nullptr, false};
        found = known_.emplace(id, record{.heard = now}).first;
    }
    auto& item = found->second;
    bool const newly_confirmed = confirmed && !item.confirmed;
    item.confirmed = item.confirmed || confirmed;
    item.expires = std::max(item.expires, expires);
    return {&item, is_new || newly_confirmed};
}

std::vector<crash_suspicion>
suspicion_ledger::add_all(std::vector<crash_suspicion> const& suspicions,
                          bool own, wall_time now)
{
    std::vector<crash_suspicion> news;
    for (auto const& item : suspicions)
    {
        auto const [known, is_new] =
            add({item.content, item.crash}, item.confirmed,
                now + item.time_left, now);
        if (known != nullptr)
            known->own = known->own || own;
        if (is_new)
            news.push_back(item);
    }
    return news;
}

std::vector<crash_suspicion>
suspicion_ledger::report(std::vector<crash_suspicion> const& suspicions,
                         wall_time now)
{
    return add_all(suspicions, true, now);
}

std::vector<crash_suspicion>
suspicion_ledger::hear(std::vector<crash_suspicion> const& suspicions,
                       wall_time now)
{
    return add_all(suspicions, false, now);
}

std::vector<crash_suspicion>
suspicion_ledger::read_entry(std::vector<published_suspicion> const& suspicions,
                             bool own_entry, wall_time now)
{
    std::vector<crash_suspicion> news;
    for (auto const& item : suspicions)
    {
        auto const [known, is_new] =
            add({item.content, item.crash}, item.confirmed, item.expires, now);
        if (known == nullptr)
            continue;
        known->in_entry = true;
        known->own = known->own || own_entry;
        if (is_new)
            news.push_back(
                {.content = item.content,
                 .crash = item.crash,
                 .time_left = std::chrono::duration_cast<milliseconds>(
                     item.expires - now),
                 .confirmed = item.confirmed});
    }
    return news;
}

bool suspicion_ledger::adopt(wall_time now)
{
    bool adopted = false;
    for (auto& [id, item] : known_)
        if (!item.in_entry && !item.own &&
            now - item.heard >= options_.adoption_delay)
        {
            item.own = true;
            adopted = true;
        }
    return adopted;
}

bool suspicion_ledger::has_unpublished() const
{
    return std::any_of(known_.begin(), known_.end(),
                       [](auto const& item)
                       { return !item.second.in_entry && !item.second.own; });
}

std::vector<published_suspicion>
suspicion_ledger::published(wall_time now) const
{
    std::vector<published_suspicion> all;
    std::map<fingerprint, int> crashes;
    for (auto const& [id, item] : known_)
    {
        if (item.expires <= now)
            continue;
        ++crashes[id.first];
        if (item.own)
            all.push_back({.content = id.first,
                           .crash = id.second,
                           .confirmed = item.confirmed,
                           .expires = item.expires});
    }
    if (all.size() <= options_.max_published)
        return all;
    std::stable_sort(
        all.begin(), all.end(),
        [&](auto const& left, auto const& right)
        {
            return std::tuple(crashes.at(left.content), left.expires) >
                   std::tuple(crashes.at(right.content), right.expires);
        });
    all.resize(options_.max_published);
    return all;
}

} // namespace pollenhall::mesh
