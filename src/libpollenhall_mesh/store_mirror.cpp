// Merges updates by the revisions of their items.

#include <pollenhall/mesh/store_mirror.hpp>

#include <algorithm>
#include <set>

namespace pollenhall::mesh
{

store_mirror::store_mirror(std::size_t max_removed) : max_removed_(max_removed)
{
}

std::vector<store_item> store_mirror::find_absent(store_items const& update)
{
    std::set<std::string> present;
    for (auto const& item : update.items)
        present.insert(item.key);
    std::vector<store_item> absent;
    // The exact revision of the removal is unknown, but is at most
    // `update.revision`.
    for (auto const& [key, known] : entries_)
        if (known.value && known.revision <= update.revision &&
            !present.contains(key))
            absent.push_back({.key = key,
                              .value = std::nullopt,
                              .revision = update.revision});
    return absent;
}

std::vector<store_item> store_mirror::apply(store_items const& update)
{
    if (update.revision.era() < revision_.era() ||
        (update.revision.era() > revision_.era() && !update.complete))
        return {};
    auto items = update.items;
    if (update.complete)
    {
        auto absent = find_absent(update);
        std::move(absent.begin(), absent.end(), std::back_inserter(items));
        // Keys may have been created and removed between two complete updates.
        if (update.revision > revision_)
            removals_known_after_ = update.revision;
    }
    std::vector<store_item> changed;
    for (auto& item : items)
    {
        auto const known = entries_.find(item.key);
        if (known != entries_.end() && known->second.revision >= item.revision)
            continue;
        // The update is older than the mirror, and the key has been removed
        // since. The mirror may not have heard of it before.
        bool const is_absent =
            known == entries_.end() || !known->second.value.has_value();
        if (is_absent && update.revision < revision_ &&
            item.revision <= revision_)
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
    revision_ = std::max(revision_, update.revision);
    discard_old_removals();
    return changed;
}

void store_mirror::discard_old_removals()
{
    while (removed_.size() > max_removed_)
    {
        auto const oldest = removed_.begin();
        removals_known_after_ = std::max(removals_known_after_, oldest->first);
        entries_.erase(oldest->second);
        removed_.erase(oldest);
    }
}

store_items store_mirror::changes_after(store_revision after) const
{
    store_items changes{.revision = revision_,
                        .complete = after < removals_known_after_};
    for (auto const& [key, known] : entries_)
        if (changes.complete ? known.value.has_value() : known.revision > after)
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
    return found == entries_.end() || !found->second.value
               ? store_revision()
               : found->second.revision;
}

} // namespace pollenhall::mesh
