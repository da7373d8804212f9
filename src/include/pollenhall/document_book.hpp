// The versioned documents in force on a node, grouped in spaces. A space is a
// set of documents with a common generation. The generation of a space never
// decreases, even if the store or a peer returns stale documents.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/membership.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// One document of a space.
struct versioned_document
{
    std::string path;
    /// Generation in which it last changed.
    generation changed;
    /// Empty if the document was removed.
    std::optional<std::string> text;

    bool operator==(versioned_document const&) const = default;
};

/// An apply operation and what it created.
struct past_apply
{
    std::string id;
    /// Generation that the apply created.
    generation made;

    bool operator==(past_apply const&) const = default;
};

/// Maximum number of applies recorded for a space.
inline constexpr std::size_t max_past_applies = 64;

/// Changes to one space.
struct space_update
{
    std::string space;
    generation newest;
    /// Id of the apply operation that created the newest generation.
    std::string apply_id;
    /// Operator or node that created the newest generation.
    std::string actor;
    /// `documents` holds all documents changed after this generation; 0 for all
    /// documents.
    generation since;
    std::vector<versioned_document> documents;
    /// Applies that the store has a record of; empty in updates of peers.
    std::vector<past_apply> applies = {};

    bool operator==(space_update const&) const = default;
};

/// A space as a node has it in force.
struct known_space
{
    /// All documents of the space.
    space_update content;
    /// Applies that the node has a record of; latest first.
    std::vector<past_apply> applies;
};

/// Result of merging an update.
enum class merge_result
{
    /// The space already has that generation or a newer one.
    unchanged,
    /// The space has a new generation.
    advanced,
    /// Changes before `since` are missing; request all changes after
    /// `newest()`.
    gap
};

/// The spaces of one node. Not thread-safe.
class document_book
{
public:
    /// Applies an update unless it is stale or leaves a gap. One of the
    /// generation in force adds its record of applies.
    merge_result merge(space_update const& update);

    /// Returns the generation in force; 0 if the space is unknown.
    [[nodiscard]] generation newest(std::string_view space) const;
    /// Returns all documents changed after `since`; empty if the space is
    /// unknown.
    [[nodiscard]] std::optional<space_update>
    changes_since(std::string_view space, generation since) const;
    /// Returns all that is known of a space; empty if the space is unknown.
    [[nodiscard]] std::optional<known_space>
    known(std::string_view space) const;
    /// Returns the documents of a space, without removed ones.
    [[nodiscard]] std::vector<declaration_file>
    files(std::string_view space) const;
    /// Returns the digests of all spaces, sorted by name.
    [[nodiscard]] std::vector<space_digest> digests() const;
    /// Returns a hash of `digests()`.
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct space
    {
        generation newest;
        std::string apply_id;
        std::string actor;
        // Latest first.
        std::vector<past_apply> applies;
        std::map<std::string, versioned_document> documents;
    };

    // The generation of a space never decreases.
    std::map<std::string, space, std::less<>> spaces_;
};

/// Name prefix of spaces that hold a member's declarations.
inline constexpr std::string_view member_space_prefix = "member/";
/// Name prefix of spaces that hold a service's roster.
inline constexpr std::string_view roster_space_prefix = "roster/";

} // namespace pollenhall
