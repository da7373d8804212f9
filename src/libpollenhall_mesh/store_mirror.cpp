// Merges news of the store by revision.

#include <pollenhall/mesh/store_mirror.hpp>

#include <algorithm>
#include <set>

namespace pollenhall::mesh
{

store_mirror::store_mirror(std::size_t most_removed)
    : most_removed_(most_removed)
{
}

std::vector<store_item> store_mirror::take_absent(store_items const& news)
{
    std::set<std::string> present;
    for (auto const& item : news.items)
        present.insert(item.key);
    std::vector<store_item> absent;
    // When a key was removed is not known; it was not later than `news.at`.
    for (auto const& [key, known] : entries_)
        if (known.value && known.revision <= news.at && !present.contains(key))
            absent.push_back(
                {.key = key, .value = std::nullopt, .revision = news.at});
    return absent;
}

std::vector<store_item> store_mirror::apply(store_items const& news)
{
    auto items = news.items;
    if (news.complete)
    {
        auto absent = take_absent(news);
        std::move(absent.begin(), absent.end(), std::back_inserter(items));
        // Keys may have come and gone between two readings.
        if (news.at > at_)
            removals_known_after_ = news.at;
    }
    std::vector<store_item> changed;
    for (auto& item : items)
    {
        auto const known = entries_.find(item.key);
        if (known != entries_.end() && known->second.revision >= item.revision)
            continue;
        if (known != entries_.end() && !known->second.value)
        {
            auto const [first, last] =
                removed_.equal_range(known->second.revision);
            auto const old = std::find_if(first, last,
                                          [&](auto const& removed) {
                                              return removed.second == item.key;
                                          });
            if (old != last)
                removed_.erase(old);
        }
        if (!item.value)
            removed_.emplace(item.revision, item.key);
        entries_.insert_or_assign(
            item.key, entry{.value = item.value, .revision = item.revision});
        changed.push_back(std::move(item));
    }
    at_ = std::max(at_, news.at);
    forget_old_removals();
    return changed;
}

void store_mirror::forget_old_removals()
{
    while (removed_.size() > most_removed_)
    {
        auto const oldest = removed_.begin();
        removals_known_after_ = std::max(removals_known_after_, oldest->first);
        entries_.erase(oldest->second);
        removed_.erase(oldest);
    }
}

store_items store_mirror::changes_after(store_revision revision) const
{
    store_items changes{.at = at_,
                        .complete = revision < removals_known_after_};
    for (auto const& [key, known] : entries_)
        if (changes.complete ? known.value.has_value()
                             : known.revision > revision)
            changes.items.push_back(
                {.key = key, .value = known.value, .revision = known.revision});
    return changes;
}

std::string const* store_mirror::find(std::string const& key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() || !found->second.value
               ? nullptr
               : &*found->second.value;
}

store_revision store_mirror::revision_of(std::string const& key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? store_revision() : found->second.revision;
}

} // namespace pollenhall::mesh
