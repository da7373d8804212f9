// Changes a space of documents in the store by compare-and-swap, and finds
// out what became of a change whose answer was lost.

#pragma once

#include <pollenhall/io/etcd_store.hpp>
#include <pollenhall/store_layout.hpp>

#include <string>
#include <vector>

namespace pollenhall
{

/// What became of a change.
enum class write_outcome
{
    accepted,
    unchanged,
    /// Somebody else changed the space first; nothing was written.
    conflict,
    /// The store was not reached; nothing was written.
    not_accepted,
    /// The answer was lost; `settle` finds out.
    not_known,
    /// The change is too large for the store; nothing was written.
    too_large
};

/// A change to make.
struct write_request
{
    std::string space;
    /// Generation that the change is based on.
    generation base;
    /// All documents that the space is to have.
    std::vector<declaration_file> documents;
    std::string apply_id;
    std::string actor;
};

/// Result of a change.
struct write_report
{
    write_outcome what = write_outcome::not_known;
    /// The space as it is now, if known.
    space_update current;
    std::string message;
};

/// Most documents that one change may write; the store bounds the operations
/// of a transaction.
inline constexpr std::size_t max_changed_documents = 120;

/// Reads one space; an empty one if the store has none of that name.
absl::StatusOr<stored_space>
read_space(etcd_store& store, std::string_view prefix, std::string_view space);

/// Makes a change. An apply id that was accepted before is not written
/// again. The store is written at most once.
write_report write_documents(etcd_store& store, std::string_view prefix,
                             write_request const& request);

/// Finds out what became of the apply of that id, by reading only. A change
/// based on `base` can no longer take effect once the space has moved on.
write_report settle_write(etcd_store& store, std::string_view prefix,
                          std::string_view space, std::string_view apply_id,
                          generation base);

} // namespace pollenhall
