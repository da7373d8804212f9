// The documents in force on this node, with what they mean: declarations and
// rosters. Belongs to the control thread.

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
    /// Moves a space forward if the update is complete and free of faults;
    /// else nothing changes and the reason is logged.
    merge_result merge(space_update const& update);

    /// Findings of a folder of declarations, also against the services of
    /// other members. `name` receives the member's name.
    [[nodiscard]] std::vector<finding>
    check(std::vector<declaration_file> const& documents,
          member_name& name) const;

    [[nodiscard]] document_book const& book() const { return book_; }
    /// All declarations; never null, replaced by each change.
    [[nodiscard]] std::shared_ptr<declaration_set const> declarations() const
    {
        return declarations_;
    }
    using roster_map = std::map<service_name, roster_history>;
    /// All rosters; never null, replaced by each change.
    [[nodiscard]] std::shared_ptr<roster_map const> rosters() const
    {
        return rosters_;
    }

private:
    bool install(document_book const& next, space_update const& update);

    document_book book_;
    std::map<std::string, member_declarations, std::less<>> members_;
    std::shared_ptr<declaration_set const> declarations_ =
        std::make_shared<declaration_set const>();
    std::shared_ptr<roster_map const> rosters_ =
        std::make_shared<roster_map const>();
};

/// Path of the only document of a roster's space.
inline constexpr std::string_view roster_path = "roster.json";

} // namespace pollenhall
