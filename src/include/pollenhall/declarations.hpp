// What members declare: zones, services and kinds of requests. Parsed from a
// folder of INI files, checked as a whole, and read by every decision.

#pragma once

#include <pollenhall/findings.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/operator_rights.hpp>

#include <compare>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// How much a request matters when not all can be served; a higher class is
/// shed only after all lower ones.
enum class importance
{
    sheddable = 0,
    normal = 1,
    high = 2,
    critical = 3
};

/// Number of importance classes.
inline constexpr int importance_count = 4;

/// The name used in declarations, such as `critical`.
std::string_view to_string(importance value);

/// A kind of request of a service.
struct kind_ref
{
    service_name service;
    kind_name kind;

    auto operator<=>(kind_ref const&) const = default;
};

/// Returns `service/kind`.
std::string to_string(kind_ref const& ref);

/// Declaration of one kind of request.
struct kind_declaration
{
    kind_name name;
    importance level = importance::normal;
    /// Whether it may run more than once; if not, callers must send a key.
    bool repeatable = true;
    /// Time from the caller's call to its answer.
    milliseconds deadline{1'000};
    /// Retries of the whole request, summed over its call tree.
    retry_count retries{1};
    /// Kinds that its upstream calls while it runs.
    std::vector<kind_ref> calls;
    /// Share of whole requests to complete within the deadline.
    double objective = 0.99;
};

/// Declaration of one service.
struct service_declaration
{
    service_name name;
    member_name owner;
    /// Calls that one upstream runs at once; a hint, never trusted.
    int slots = 16;
    /// Connections that one upstream accepts.
    int connections = 64;
    std::vector<kind_declaration> kinds;

    /// The kind of that name; null if it is not declared.
    [[nodiscard]] kind_declaration const* find(kind_name const& kind) const;
};

/// Declaration of one availability zone.
struct zone_declaration
{
    zone_name name;
    /// One-way time to the member's other zones.
    microseconds trip{0};
};

/// All declarations of one member.
struct member_declarations
{
    member_name name;
    std::string title;
    std::vector<zone_declaration> zones;
    std::vector<service_declaration> services;
    /// Who may act for the member.
    std::vector<operator_grant> operators;
};

/// One file of a folder of declarations.
struct declaration_file
{
    /// Path below the folder: `member.ini` or `services/NAME.ini`.
    std::string path;
    std::string text;
};

/// Most files that one member may declare.
inline constexpr std::size_t max_declaration_files = 1'000;

/// Parses and checks a folder. All faults are added to `findings`; the
/// result is complete only if there are none.
member_declarations parse_declarations(std::span<declaration_file const> files,
                                       finding_list& findings);

/// The declarations of all members, as they are in force on a node. It never
/// changes; a new object takes its place.
class declaration_set
{
public:
    declaration_set() = default;
    explicit declaration_set(std::vector<member_declarations> members);

    /// Null if no member declares the service.
    [[nodiscard]] service_declaration const*
    find(service_name const& service) const;
    /// Null if the kind is not declared.
    [[nodiscard]] kind_declaration const* find(kind_ref const& ref) const;

    [[nodiscard]] std::vector<member_declarations> const& members() const
    {
        return members_;
    }

private:
    std::vector<member_declarations> members_;
    // Indexes into members_ and its services, by name.
    std::map<service_name, std::pair<std::size_t, std::size_t>> services_;
};

} // namespace pollenhall
