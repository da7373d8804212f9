// Parses and validates the members' declarations.

#include <pollenhall/declarations.hpp>
#include <pollenhall/ini_document.hpp>
#include <pollenhall/value_reader.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace pollenhall
{
namespace
{

constexpr std::array<std::string_view, importance_count> importance_names{
    "sheddable", "normal", "high", "critical"};

constexpr number_range slots_range{1, 100'000};
constexpr number_range connections_range{1, 100'000};
constexpr number_range retries_range{0, 16};
constexpr duration_range deadline_range{milliseconds{10},
                                        std::chrono::minutes{10}};
constexpr duration_range one_way_latency_range{microseconds{0}, seconds{1}};
constexpr std::string_view member_path = "member.ini";
constexpr std::string_view service_folder = "services/";

// Location of a declaration, for findings about references between files.
struct source_location
{
    std::string path;
    int line = 0;
};

// Parses one folder. Collects source locations for the checks that need all
// files: references and cycles.
class folder_parser
{
public:
    explicit folder_parser(finding_list& findings) : findings_(&findings) {}

    member_declarations parse(std::span<declaration_file const> files);

private:
    void parse_file(declaration_file const& file);
    void parse_member_file(ini_document const& document);
    void parse_member_section(std::string_view path,
                              ini_section const& section);
    void parse_zone_section(std::string_view path, ini_section const& section);
    void parse_operator_section(std::string_view path,
                                ini_section const& section);
    void parse_service_file(ini_document const& document);
    void parse_service_section(std::string_view path,
                               ini_section const& section,
                               service_declaration& service);
    void parse_kind_section(std::string_view path, ini_section const& section,
                            service_declaration& service);
    std::vector<kind_ref> parse_calls(value_reader& reader);
    void check_references();
    void check_reference(kind_ref const& target,
                         source_location const& location);
    void check_cycles();
    bool visit(service_name const& service, std::vector<service_name>& path);
    void report_cycle(std::vector<service_name> const& path,
                      service_name const& repeated);
    service_declaration const* find(service_name const& name) const;

    finding_list* findings_;
    member_declarations member_;
    std::map<service_name, source_location> service_locations_;
    std::map<kind_ref, source_location> call_locations_;
    std::set<service_name> visited_;
};

// Returns NAME of a heading `KEYWORD NAME`; empty if the heading has another
// form.
std::string_view section_argument(std::string_view heading,
                                  std::string_view keyword)
{
    if (!heading.starts_with(keyword))
        return {};
    heading.remove_prefix(keyword.size());
    if (heading.empty() || heading.front() != ' ')
        return {};
    heading.remove_prefix(1);
    return heading;
}

// Like `section_argument`, but adds a finding if the name is invalid.
std::string_view read_section_name(std::string_view path,
                                   ini_section const& section,
                                   std::string_view keyword,
                                   finding_list& findings)
{
    auto const name = section_argument(section.name, keyword);
    if (!is_valid_name(name))
        findings.add(path, section.line,
                     std::string(keyword) + " name '" + std::string(name) +
                         "' is invalid; expected 1 to 63 lower-case letters, "
                         "digits and hyphens");
    return name;
}

void report_unknown_section(finding_list& findings, std::string_view path,
                            ini_section const& section,
                            std::string_view allowed)
{
    if (section.line == 0)
    {
        findings.add(path,
                     section.entries.empty() ? 0 : section.entries[0].line,
                     "key precedes the first [section]");
        return;
    }
    findings.add(path, section.line,
                 "unknown section [" + section.name + "]; expected " +
                     std::string(allowed));
}

member_declarations
folder_parser::parse(std::span<declaration_file const> files)
{
    if (files.size() > max_declaration_files)
    {
        findings_->add("", 0,
                       "folder has " + std::to_string(files.size()) +
                           " files; the maximum is " +
                           std::to_string(max_declaration_files));
    }
    for (auto const& file : files)
        parse_file(file);
    if (member_.name.value().empty() &&
        std::none_of(files.begin(), files.end(),
                     [](auto const& file) { return file.path == member_path; }))
        findings_->add(member_path, 0,
                       "file is missing; it is required and names the member");
    for (auto& service : member_.services)
        service.owner = member_.name;
    check_references();
    check_cycles();
    return std::move(member_);
}

void folder_parser::parse_file(declaration_file const& file)
{
    auto const document = ini_document::parse(file.path, file.text, *findings_);
    if (file.path == member_path)
        parse_member_file(document);
    else if (file.path.starts_with(service_folder))
        parse_service_file(document);
    else
        findings_->add(file.path, 0,
                       "unknown file; expected member.ini or "
                       "services/NAME.ini");
}

void folder_parser::parse_member_file(ini_document const& document)
{
    bool has_member = false;
    for (auto const& section : document.sections())
    {
        if (section.name == "member")
        {
            has_member = true;
            parse_member_section(document.path(), section);
        }
        else if (!section_argument(section.name, "zone").empty())
            parse_zone_section(document.path(), section);
        else if (!section_argument(section.name, "operator").empty())
            parse_operator_section(document.path(), section);
        else
            report_unknown_section(*findings_, document.path(), section,
                                   "[member], [zone NAME] or [operator NAME]");
    }
    if (!has_member && !document.sections().empty())
        findings_->add(document.path(), 0, "section [member] is missing");
}

void folder_parser::parse_member_section(std::string_view path,
                                         ini_section const& section)
{
    value_reader reader(path, section, *findings_);
    member_.name = member_name(reader.required_name("name"));
    member_.title = reader.text("title", member_.name.value());
    reader.report_unknown();
}

void folder_parser::parse_zone_section(std::string_view path,
                                       ini_section const& section)
{
    auto const name = read_section_name(path, section, "zone", *findings_);
    value_reader reader(path, section, *findings_);
    zone_declaration zone;
    zone.name = zone_name(std::string(name));
    zone.one_way_latency =
        reader.duration("trip", one_way_latency_range, zone.one_way_latency);
    reader.report_unknown();
    member_.zones.push_back(std::move(zone));
}

void folder_parser::parse_operator_section(std::string_view path,
                                           ini_section const& section)
{
    auto const name = read_section_name(path, section, "operator", *findings_);
    value_reader reader(path, section, *findings_);
    operator_grant grant;
    grant.name = name;
    grant.key_hash = reader.key_hash("key-hash");
    for (auto const& item : reader.list("rights"))
    {
        if (auto const right = parse_operator_right(item))
            grant.rights.insert(*right);
        else
            reader.report("rights", "right '" + item +
                                        "' is unknown; expected read, "
                                        "change or operate");
    }
    reader.report_unknown();
    member_.operators.push_back(std::move(grant));
}

void folder_parser::parse_service_file(ini_document const& document)
{
    service_declaration service;
    bool has_service = false;
    for (auto const& section : document.sections())
    {
        if (section.name == "service")
        {
            has_service = true;
            parse_service_section(document.path(), section, service);
        }
        else if (!section_argument(section.name, "kind").empty())
            parse_kind_section(document.path(), section, service);
        else
            report_unknown_section(*findings_, document.path(), section,
                                   "[service] or [kind NAME]");
    }
    if (document.sections().empty())
        return;
    if (!has_service)
        findings_->add(document.path(), 0, "section [service] is missing");
    if (service.kinds.empty())
        findings_->add(document.path(), 0,
                       "service has no kind; at least one [kind NAME] "
                       "section is required");
    // The [kind] sections may precede [service], so their call locations were
    // stored under an empty service name.
    for (auto const& kind : service.kinds)
    {
        auto node = call_locations_.extract({.service = {}, .kind = kind.name});
        if (node.empty())
            continue;
        node.key().service = service.name;
        call_locations_.insert(std::move(node));
    }
    if (!service.name.value().empty())
        member_.services.push_back(std::move(service));
}

void folder_parser::parse_service_section(std::string_view path,
                                          ini_section const& section,
                                          service_declaration& service)
{
    value_reader reader(path, section, *findings_);
    service.name = service_name(reader.required_name("name"));
    service.slots =
        static_cast<int>(reader.number("slots", slots_range, service.slots));
    service.connections = static_cast<int>(
        reader.number("connections", connections_range, service.connections));
    auto const expected_path =
        std::string(service_folder) + service.name.value() + ".ini";
    if (!service.name.value().empty() && path != expected_path)
        reader.report("name", "service '" + service.name.value() +
                                  "' must be declared in " + expected_path);
    service_locations_.emplace(
        service.name, source_location{std::string(path), section.line});
    reader.report_unknown();
}

void folder_parser::parse_kind_section(std::string_view path,
                                       ini_section const& section,
                                       service_declaration& service)
{
    auto const name = read_section_name(path, section, "kind", *findings_);
    value_reader reader(path, section, *findings_);
    kind_declaration kind;
    kind.name = kind_name(std::string(name));
    kind.level = static_cast<importance>(reader.choice(
        "importance", importance_names, static_cast<std::size_t>(kind.level)));
    kind.repeatable = reader.boolean("repeatable", kind.repeatable);
    kind.deadline = std::chrono::duration_cast<milliseconds>(
        reader.duration("deadline", deadline_range, kind.deadline));
    kind.retries = retry_count(static_cast<std::int32_t>(
        reader.number("retries", retries_range, kind.retries.value())));
    kind.objective = reader.percentage("objective", kind.objective);
    kind.calls = parse_calls(reader);
    call_locations_[{.service = {}, .kind = kind.name}] = {
        std::string(path), reader.line_of("calls")};
    reader.report_unknown();
    service.kinds.push_back(std::move(kind));
}

std::vector<kind_ref> folder_parser::parse_calls(value_reader& reader)
{
    std::vector<kind_ref> calls;
    for (auto const& item : reader.list("calls"))
    {
        auto const slash = item.find('/');
        if (slash == std::string::npos)
        {
            reader.report("calls",
                          "'" + item + "' does not have the form SERVICE/KIND");
            continue;
        }
        calls.push_back({.service = service_name(item.substr(0, slash)),
                         .kind = kind_name(item.substr(slash + 1))});
    }
    return calls;
}

service_declaration const* folder_parser::find(service_name const& name) const
{
    for (auto const& service : member_.services)
    {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

void folder_parser::check_references()
{
    for (auto const& service : member_.services)
    {
        for (auto const& kind : service.kinds)
        {
            auto const location = call_locations_.find(
                {.service = service.name, .kind = kind.name});
            for (auto const& target : kind.calls)
                check_reference(target, location->second);
        }
    }
}

void folder_parser::check_reference(kind_ref const& target,
                                    source_location const& location)
{
    auto const* const service = find(target.service);
    if (service == nullptr)
        findings_->add(location.path, location.line,
                       "calls '" + to_string(target) + "', but no service '" +
                           target.service.value() + "' is declared");
    else if (service->find(target.kind) == nullptr)
        findings_->add(location.path, location.line,
                       "calls '" + to_string(target) + "', but service '" +
                           target.service.value() + "' declares no kind '" +
                           target.kind.value() + "'");
}

void folder_parser::check_cycles()
{
    for (auto const& service : member_.services)
    {
        std::vector<service_name> path;
        visit(service.name, path);
    }
}

// Depth-first search over the calls between services. Returns false after a
// cycle has been reported.
bool folder_parser::visit(service_name const& service,
                          std::vector<service_name>& path)
{
    if (std::find(path.begin(), path.end(), service) != path.end())
    {
        report_cycle(path, service);
        return false;
    }
    auto const* const declaration = find(service);
    if (declaration == nullptr || !visited_.insert(service).second)
        return true;
    path.push_back(service);
    bool acyclic = true;
    for (auto const& kind : declaration->kinds)
    {
        for (auto const& target : kind.calls)
            acyclic = acyclic && visit(target.service, path);
    }
    path.pop_back();
    return acyclic;
}

void folder_parser::report_cycle(std::vector<service_name> const& path,
                                 service_name const& repeated)
{
    std::string text;
    auto const start = std::find(path.begin(), path.end(), repeated);
    for (auto item = start; item != path.end(); ++item)
        text += item->value() + " -> ";
    auto const& location = service_locations_[repeated];
    findings_->add(location.path, location.line,
                   "services call each other in a cycle: " + text +
                       repeated.value());
}

} // namespace

std::string_view to_string(importance value)
{
    return importance_names.at(static_cast<std::size_t>(value));
}

std::string to_string(kind_ref const& ref)
{
    return ref.service.value() + "/" + ref.kind.value();
}

kind_declaration const* service_declaration::find(kind_name const& kind) const
{
    for (auto const& item : kinds)
    {
        if (item.name == kind)
            return &item;
    }
    return nullptr;
}

member_declarations parse_declarations(std::span<declaration_file const> files,
                                       finding_list& findings)
{
    return folder_parser(findings).parse(files);
}

declaration_set::declaration_set(std::vector<member_declarations> members)
    : members_(std::move(members))
{
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        auto const& services = members_[i].services;
        for (std::size_t j = 0; j < services.size(); ++j)
            services_.try_emplace(services[j].name, i, j);
    }
}

service_declaration const*
declaration_set::find(service_name const& service) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return nullptr;
    return &members_[found->second.first].services[found->second.second];
}

kind_declaration const* declaration_set::find(kind_ref const& ref) const
{
    auto const* const service = find(ref.service);
    return service == nullptr ? nullptr : service->find(ref.kind);
}

} // namespace pollenhall
