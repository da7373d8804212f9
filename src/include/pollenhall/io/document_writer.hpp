// Changes a space of documents in the store by compare-and-swap, and determines
// the outcome of a change whose response was lost. Also stores again what a
// restored store has lost and nodes have in force.

#pragma once

#include <pollenhall/io/etcd_store.hpp>
#include <pollenhall/store_layout.hpp>

#include <string>
#include <vector>

namespace pollenhall
{

/// Outcome of a change.
enum class write_outcome
{
    accepted,
    unchanged,
    /// Another writer changed the space first; nothing was written.
    conflict,
    /// The store could not be reached; nothing was written.
    not_accepted,
    /// The store's response was lost; `resolve_write` determines the outcome.
    not_known,
    /// The change is too large for the store; nothing was written.
    too_large
};

/// Requested change of a space.
struct write_request
{
    std::string space;
    /// Generation that the change is based on.
    generation base;
    /// Complete set of documents of the space after the change.
    std::vector<declaration_file> documents;
    std::string apply_id;
    std::string actor;
    /// What this node has in force. If the store has an older generation, this
    /// is stored again before the change.
    known_space known;
};

/// Result of a change.
struct write_report
{
    write_outcome what = write_outcome::not_known;
    /// Current content of the space, if known.
    space_update current;
    std::string message;
};

/// Maximum number of documents that one change may write, because the store
/// limits the number of operations in a transaction.
inline constexpr std::size_t max_changed_documents = 120;

/// Reads one space. Returns an empty space if the store has none of that name.
absl::StatusOr<stored_space>
read_space(etcd_store& store, std::string_view prefix, std::string_view space);

/// Stores a space again if the store has an older generation of it, because it
/// was restored from an older snapshot. If the store has since accepted another
/// change of a member's declarations under a generation that was known here
/// already, its content becomes the next generation instead: it was accepted
/// last. Returns whether the space was written.
absl::StatusOr<bool> restore_space(etcd_store& store, std::string_view prefix,
                                   known_space const& known);

/// Performs a change with at most one write to the store, besides that of
/// `restore_space`. An apply id that was accepted before is not written again.
write_report write_documents(etcd_store& store, std::string_view prefix,
                             write_request const& request);

/// Determines the outcome of the change with that apply id without writing.
/// Once the space has a newer generation than `base`, a change based on `base`
/// can no longer take effect.
write_report resolve_write(etcd_store& store, std::string_view prefix,
                           std::string_view space, std::string_view apply_id,
                           generation base);

} // namespace pollenhall
