// Parsing of documents and putting them in force.

#include "configuration.hpp"

#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

void log_rejected_update(space_update const& update, std::string_view reason)
{
    log_event("update_refused", log_level::error)
        .add("space", update.space)
        .add("generation", update.newest.value())
        .add("reason", reason);
}

} // namespace

merge_result configuration::merge(space_update const& update)
{
    auto next = book_;
    auto const result = next.merge(update);
    if (result == merge_result::advanced && !install(next, update))
        return merge_result::unchanged;
    // An update that changes nothing may add its record of applies.
    if (result != merge_result::gap)
        book_ = std::move(next);
    if (result != merge_result::advanced)
        return result;
    log_event("update_in_force")
        .add("space", update.space)
        .add("generation", update.newest.value())
        .add("apply_id", update.apply_id);
    return result;
}

bool configuration::install(document_book const& next,
                            space_update const& update)
{
    auto const files = next.files(update.space);
    if (update.space.starts_with(member_space_prefix))
    {
        finding_list findings;
        auto parsed = parse_declarations(files, findings);
        if (!findings.empty())
        {
            log_rejected_update(update, to_string(findings.items().front()));
            return false;
        }
        members_[update.space] = std::move(parsed);
        std::vector<member_declarations> all;
        for (auto const& [space, member] : members_)
            all.push_back(member);
        declarations_ = std::make_shared<declaration_set const>(std::move(all));
        return true;
    }
    if (!update.space.starts_with(roster_space_prefix) || files.size() != 1)
    {
        log_rejected_update(update, "unknown space");
        return false;
    }
    auto history = roster_history::parse(files.front().text);
    if (!history.ok())
    {
        log_rejected_update(update, std::string(history.status().message()));
        return false;
    }
    auto const service =
        service_name(update.space.substr(roster_space_prefix.size()));
    auto changed = std::make_shared<roster_map>(*rosters_);
    (*changed)[service] = std::move(*history);
    rosters_ = std::move(changed);
    return true;
}

std::vector<finding>
configuration::check(std::vector<declaration_file> const& documents,
                     member_name& name) const
{
    finding_list findings;
    auto const parsed = parse_declarations(documents, findings);
    name = parsed.name;
    auto const own_space =
        std::string(member_space_prefix) + parsed.name.value();
    for (auto const& [space, member] : members_)
    {
        if (space == own_space)
            continue;
        for (auto const& service : member.services)
        {
            bool const is_conflict = std::any_of(
                parsed.services.begin(), parsed.services.end(),
                [&](auto const& own) { return own.name == service.name; });
            if (is_conflict)
                findings.add("services/" + service.name.value() + ".ini", 0,
                             "service '" + service.name.value() +
                                 "' belongs to member '" + member.name.value() +
                                 "'");
        }
    }
    findings.sort();
    return findings.items();
}

} // namespace pollenhall
