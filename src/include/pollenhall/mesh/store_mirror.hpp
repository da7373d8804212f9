// Local replica of the shared store, which can also tell a peer the changes
// that it has missed. If hundreds of nodes watched the store, each change would
// cause a call by each of them, and calls to the store are billed. Only a
// few nodes watch; the others poll these, which respond from their mirrors.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenhall::mesh
{

/// Counts how often the store has been restored from an older snapshot. The
/// changes made after the snapshot are lost, and their revisions are reused.
using store_era = strong_value<struct store_era_tag, std::int64_t>;

/// Revision of the store; its number increases with each change within an era.
/// All revisions of an era are later than those of the eras before. The default
/// value means none.
class store_revision
{
public:
    constexpr store_revision() = default;
    constexpr explicit store_revision(std::int64_t number,
                                      store_era era = store_era())
        : era_(era), number_(number)
    {
    }

    [[nodiscard]] constexpr store_era era() const { return era_; }
    /// The number by which the store knows the revision; 0 for none.
    [[nodiscard]] constexpr std::int64_t number() const { return number_; }

    // Compares the eras first.
    auto operator<=>(store_revision const&) const = default;

private:
    store_era era_;
    std::int64_t number_ = 0;
};

/// A key and its value, or the removal of the key.
struct store_item
{
    std::string key;
    // Empty if the key was removed.
    std::optional<std::string> value;
    // Revision of the last change of this key.
    store_revision revision;

    bool operator==(store_item const&) const = default;
};

/// Either all items under a prefix or changes of them, up to a revision.
struct store_items
{
    std::vector<store_item> items;
    // The items are up to date at this revision.
    store_revision revision;
    // Whether these are all items that existed at `revision`: a key that is not
    // among them did not exist. Otherwise they are changes only.
    bool complete = false;
};

/// Items of the store by key. Updates may arrive in any order; the newest
/// revision of a key is kept. Not thread-safe.
class store_mirror
{
public:
    /// `max_removed` is the number of removed keys that are kept, so that
    /// their removal can be reported to peers.
    explicit store_mirror(std::size_t max_removed = 1'024);

    /// Merges an update and returns the items that changed. A complete update
    /// of a later era replaces all items. Updates of an earlier era are
    /// ignored, and so are partial updates of a later one, which do not show
    /// what that era began with.
    std::vector<store_item> apply(store_items const& update);
    /// Returns the changes after the revision `after`, for a node that is up to
    /// date at that revision. Returns all items, marked as complete, if
    /// removals after it may have been discarded.
    [[nodiscard]] store_items changes_after(store_revision after) const;
    /// Revision at which the mirror is up to date.
    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Returns the value of a key, or null if the key does not exist.
    [[nodiscard]] std::string const* find(std::string const& key) const;
    /// Returns the revision of the last change of a key, or none if the key
    /// does not exist.
    [[nodiscard]] store_revision revision_of(std::string const& key) const;

private:
    struct entry
    {
        // Empty if the key was removed.
        std::optional<std::string> value;
        store_revision revision;
    };

    // Returns removals of the keys that a complete update does not contain.
    [[nodiscard]] std::vector<store_item>
    find_absent(store_items const& update);
    void discard_old_removals();

    std::size_t max_removed_;
    std::map<std::string, entry> entries_;
    // Keys of the entries without a value in entries_, by revision.
    std::multimap<store_revision, std::string> removed_;
    store_revision revision_;
    // Removals up to this revision may be missing from removed_.
    store_revision removals_known_after_;
};

} // namespace pollenhall::mesh
