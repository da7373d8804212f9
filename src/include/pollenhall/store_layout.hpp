// How documents lie in the platform's store. Each space has a head, which
// every change rewrites under compare-and-swap, and one key a document; all
// keys of a space share a prefix, so that one read gives a consistent view.

#pragma once

#include <pollenhall/document_book.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// One apply that a head remembers.
struct past_apply
{
    std::string id;
    generation made;

    bool operator==(past_apply const&) const = default;
};

/// Value of a space's head.
struct space_head
{
    generation newest;
    std::string actor;
    /// Latest first; the first one made `newest`.
    std::vector<past_apply> applies;

    /// Generation made by the apply; 0 if it is not remembered.
    [[nodiscard]] generation made_by(std::string_view apply_id) const;

    bool operator==(space_head const&) const = default;
};

/// Applies that a head remembers.
inline constexpr std::size_t max_past_applies = 64;

/// A key and its value, as read from the store.
struct stored_value
{
    std::string key;
    std::string value;
    /// Revision of the last write.
    std::int64_t modified = 0;
};

/// A space as read from the store.
struct stored_space
{
    space_head head;
    /// Revision of the head's last write, for the next compare-and-swap.
    std::int64_t head_modified = 0;
    space_update update;
};

/// Prefix of all spaces; `prefix` is that of the deployment.
std::string spaces_prefix(std::string_view prefix);
/// Prefix of the keys of one space.
std::string space_prefix(std::string_view prefix, std::string_view space);
/// Name of the space that a key belongs to; empty for any other key.
std::string_view space_of_key(std::string_view prefix, std::string_view key);
/// Key of a space's head.
std::string head_key(std::string_view prefix, std::string_view space);
/// Key of a document.
std::string document_key(std::string_view prefix, std::string_view space,
                         std::string_view path);

/// Values for the store.
std::string format_head(space_head const& head);
std::string format_document(book_document const& document);

/// Reads the spaces out of the values below `spaces_prefix`. A space with a
/// value that cannot be read is an error that names the key, and so is a
/// document that is newer than its head; nothing of it is returned.
std::vector<absl::StatusOr<stored_space>>
parse_spaces(std::string_view prefix, std::vector<stored_value> const& values);

/// The head that follows `head` when `apply_id` changes the space.
space_head next_head(space_head const& head, std::string apply_id,
                     std::string actor);

/// The documents that turn `current` into `wanted`, at generation `made`.
std::vector<book_document>
changed_documents(std::vector<declaration_file> const& current,
                  std::vector<declaration_file> const& wanted, generation made);

} // namespace pollenhall
