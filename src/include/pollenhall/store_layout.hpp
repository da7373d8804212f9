// Keys and values of documents in the platform's store. Each space has a head
// record, which every change rewrites with compare-and-swap, and one key per
// document. All keys of a space share a prefix, so that one range read returns
// a consistent view.

#pragma once

#include <pollenhall/document_book.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Value of a space's head.
struct space_head
{
    generation newest;
    std::string actor;
    /// Latest first; the first one created `newest`.
    std::vector<past_apply> applies;

    /// Returns the generation that the apply created; 0 if the head has no
    /// record of it.
    [[nodiscard]] generation
    generation_created_by(std::string_view apply_id) const;

    bool operator==(space_head const&) const = default;
};

/// A key and its value, as read from the store.
struct stored_value
{
    std::string key;
    std::string value;
    /// Store revision of the last write.
    std::int64_t revision = 0;
};

/// A space as read from the store.
struct stored_space
{
    space_head head;
    /// Store revision of the head's last write, for the next compare-and-swap.
    std::int64_t head_revision = 0;
    space_update update;
};

/// Returns the key prefix of all spaces; `prefix` is that of the deployment.
std::string spaces_prefix(std::string_view prefix);
/// Returns the key prefix of one space.
std::string space_prefix(std::string_view prefix, std::string_view space);
/// Returns the name of the space that a key belongs to; empty for other keys.
std::string_view space_of_key(std::string_view prefix, std::string_view key);
/// Returns the key of a space's head.
std::string head_key(std::string_view prefix, std::string_view space);
/// Returns the key of a document.
std::string document_key(std::string_view prefix, std::string_view space,
                         std::string_view path);

/// Returns the JSON text of a head for the store.
std::string format_head(space_head const& head);
/// Returns the JSON text of a document for the store.
std::string format_document(versioned_document const& document);

/// Parses the spaces from the values below `spaces_prefix`. Returns
/// InvalidArgument for a space without a head, with a malformed value or with a
/// document that is newer than its head; the message names the space or the
/// key.
std::vector<absl::StatusOr<stored_space>>
parse_spaces(std::string_view prefix, std::vector<stored_value> const& values);

/// Returns the head for the next generation, created by `apply_id`.
space_head next_head(space_head const& head, std::string apply_id,
                     std::string actor);

/// Whether the newest generation that both have a record of was created by
/// different applies. A store that was restored from an older snapshot reuses
/// generations.
bool have_diverged(space_head const& stored, known_space const& known);

/// Returns the head of a space that the store has at an older generation than
/// a node. It names the applies of both.
space_head restored_head(space_head const& stored, known_space const& known);

/// Returns the changes that turn `current` into `wanted`, with generation
/// `made`.
std::vector<versioned_document>
changed_documents(std::vector<declaration_file> const& current,
                  std::vector<declaration_file> const& wanted, generation made);

} // namespace pollenhall
