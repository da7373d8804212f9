// Versioned documents as they are in force on a node. A space of documents
// only ever moves forward, whatever the store or a peer says.

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
struct book_document
{
    std::string path;
    /// Generation that last changed it.
    generation changed;
    /// Empty for a document that was removed.
    std::optional<std::string> text;

    bool operator==(book_document const&) const = default;
};

/// Changes of one space.
struct space_update
{
    std::string space;
    generation newest;
    /// Id of the apply that made the newest generation.
    std::string apply_id;
    /// Who made it.
    std::string actor;
    /// All that changed after this generation; 0 for everything.
    generation since;
    std::vector<book_document> documents;

    bool operator==(space_update const&) const = default;
};

/// What became of an update.
enum class merge_result
{
    /// The space is at that generation or beyond it.
    unchanged,
    /// The space moved forward.
    advanced,
    /// Changes before the update are missing; ask for all since `newest`.
    gap
};

/// All spaces of one node. Not thread-safe.
class document_book
{
public:
    /// Moves a space forward, or leaves it as it is.
    merge_result merge(space_update const& update);

    /// Generation in force; 0 for an unknown space.
    [[nodiscard]] generation newest(std::string_view space) const;
    /// All that changed after `since`; empty if the space is unknown.
    [[nodiscard]] std::optional<space_update>
    changes_since(std::string_view space, generation since) const;
    /// The documents that exist in a space.
    [[nodiscard]] std::vector<declaration_file>
    files(std::string_view space) const;
    /// All spaces in order of their names.
    [[nodiscard]] std::vector<space_digest> digests() const;
    /// Hash over `digests()`.
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct space
    {
        generation newest;
        std::string apply_id;
        std::string actor;
        std::map<std::string, book_document> documents;
    };

    // Generations in here never go back.
    std::map<std::string, space, std::less<>> spaces_;
};

/// Start of the names of spaces that hold a member's declarations.
inline constexpr std::string_view member_space_prefix = "member/";
/// Start of the names of spaces that hold a service's roster.
inline constexpr std::string_view roster_space_prefix = "roster/";

} // namespace pollenhall
