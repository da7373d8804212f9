// The documents in force on this node and their parsed form: declarations and
// rosters. Used on the control thread only.

#pragma once

#include <pollenhall/document_book.hpp>
#include <pollenhall/home_roster.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pollenhall
{

/// Documents in force and their parsed form.
class configuration
{
public:
    /// Applies an update if it is newer than the space, leaves no gap and
    /// contains valid documents. Otherwise nothing changes; invalid documents
    /// are logged.
    merge_result merge(space_update const& update);

    /// Returns the findings of a folder of declarations, including services
    /// that already belong to other members. `name` is set to the member's
    /// name.
    [[nodiscard]] std::vector<finding>
    check(std::vector<declaration_file> const& documents,
          member_name& name) const;

    [[nodiscard]] document_book const& book() const { return book_; }
    /// Returns all declarations; never null. A change replaces the object.
    [[nodiscard]] std::shared_ptr<declaration_set const> declarations() const
    {
        return declarations_;
    }
    using roster_map = std::map<service_name, roster_history>;
    /// Returns all rosters; never null. A change replaces the object.
    [[nodiscard]] std::shared_ptr<roster_map const> rosters() const
    {
        return rosters_;
    }

private:
    // Parses the documents of `update.space` and puts them in force. Returns
    // false and logs the reason if they are invalid.
    bool install(document_book const& next, space_update const& update);

    document_book book_;
    // Parsed declarations by the name of their space.
    std::map<std::string, member_declarations, std::less<>> members_;
    std::shared_ptr<declaration_set const> declarations_ =
        std::make_shared<declaration_set const>();
    std::shared_ptr<roster_map const> rosters_ =
        std::make_shared<roster_map const>();
};

/// Path of the only document in a roster's space.
inline constexpr std::string_view roster_path = "roster.json";

} // namespace pollenhall
