// What a node knows of the shared store, and what of it a peer has missed.
// Load pattern: hundreds of nodes that all watch one store are all woken by
// each change, and each of these calls is paid for. A few nodes watch; the
// others ask those, which answer from their mirrors.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenhall::mesh
{

/// Revision of the store; grows with each change. 0 stands for none.
using store_revision = strong_value<struct store_revision_tag, std::int64_t>;

/// A key and its value, or that it was removed.
struct store_item
{
    std::string key;
    // Empty if the key was removed.
    std::optional<std::string> value;
    // Of the last change of this key.
    store_revision revision;

    bool operator==(store_item const&) const = default;
};

/// Items under a prefix, or changes of them, up to a revision.
struct store_items
{
    std::vector<store_item> items;
    store_revision at;
    // Whether keys that are not among the items did not exist at `at`.
    bool complete = false;
};

/// Items of the store by key. Whatever order news arrives in, the newest
/// revision of a key holds. Not thread-safe.
class store_mirror
{
public:
    /// `most_removed` is the number of removed keys that are remembered.
    explicit store_mirror(std::size_t most_removed = 1'024);

    /// Takes in news. The result holds what changed.
    std::vector<store_item> apply(store_items const& news);
    /// What a node that knows everything up to `revision` has missed. All
    /// there is, and marked as complete, if removals that it may have missed
    /// are forgotten.
    [[nodiscard]] store_items changes_after(store_revision revision) const;
    /// Everything up to this revision is known.
    [[nodiscard]] store_revision at() const { return at_; }
    /// Value of a key; null if it does not exist.
    [[nodiscard]] std::string const* find(std::string const& key) const;
    /// Revision of its last change; none if the key is not known.
    [[nodiscard]] store_revision revision_of(std::string const& key) const;

private:
    struct entry
    {
        // Empty if the key was removed.
        std::optional<std::string> value;
        store_revision revision;
    };

    [[nodiscard]] std::vector<store_item> take_absent(store_items const& news);
    void forget_old_removals();

    std::size_t most_removed_;
    std::map<std::string, entry> entries_;
    // Entries without a value, by revision; the same ones as in entries_.
    std::multimap<store_revision, std::string> removed_;
    store_revision at_;
    // Removals up to this revision may be missing from removed_.
    store_revision removals_known_after_;
};

} // namespace pollenhall::mesh
