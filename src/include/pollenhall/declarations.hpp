// Declarations of the members: availability zones, services and kinds of
// requests. They are parsed from a folder of INI files, validated as a whole,
// and read by admission control and routing.

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

/// Importance class of a request. Under overload a class is shed only after
/// all lower classes.
enum class importance
{
    sheddable = 0,
    normal = 1,
    high = 2,
    critical = 3
};

/// Number of importance classes.
inline constexpr int importance_count = 4;

/// Returns the name used in declarations, such as `critical`.
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
    /// Whether a request may run more than once. If not, callers must send an
    /// idempotency key.
    bool repeatable = true;
    /// Time limit from the caller's request to its response.
    milliseconds deadline{1'000};
    /// Maximum number of retries of a whole request, summed over its call tree.
    retry_count retries{1};
    /// Kinds that the upstream calls while it serves a request of this kind.
    std::vector<kind_ref> calls;
    /// Service-level objective: share of whole requests that complete within
    /// the deadline, 0 to 1.
    double objective = 0.99;
};

/// Declaration of one service.
struct service_declaration
{
    service_name name;
    member_name owner;
    /// Calls that one upstream can run concurrently. A hint: no limit relies on
    /// it.
    int slots = 16;
    /// Connections that one upstream accepts concurrently.
    int connections = 64;
    std::vector<kind_declaration> kinds;

    /// Returns the kind of that name; null if it is not declared.
    [[nodiscard]] kind_declaration const* find(kind_name const& kind) const;
};

/// Declaration of one availability zone.
struct zone_declaration
{
    zone_name name;
    /// One-way network latency to the member's other zones.
    microseconds one_way_latency{0};
};

/// All declarations of one member.
struct member_declarations
{
    member_name name;
    std::string title;
    std::vector<zone_declaration> zones;
    std::vector<service_declaration> services;
    /// Operators that may act for the member, with their rights.
    std::vector<operator_grant> operators;
};

/// One file of a folder of declarations.
struct declaration_file
{
    /// Path below the folder: `member.ini` or `services/NAME.ini`.
    std::string path;
    std::string text;
};

/// Maximum number of files in the folder of one member.
inline constexpr std::size_t max_declaration_files = 1'000;

/// Parses and validates a folder. All errors are added to `findings`; the
/// result is complete only if there are none.
member_declarations parse_declarations(std::span<declaration_file const> files,
                                       finding_list& findings);

/// The declarations of all members in force on a node. Immutable: a change of
/// the declarations replaces the whole object.
class declaration_set
{
public:
    declaration_set() = default;
    explicit declaration_set(std::vector<member_declarations> members);

    /// Returns null if no member declares the service.
    [[nodiscard]] service_declaration const*
    find(service_name const& service) const;
    /// Returns null if the kind is not declared.
    [[nodiscard]] kind_declaration const* find(kind_ref const& ref) const;

    [[nodiscard]] std::vector<member_declarations> const& members() const
    {
        return members_;
    }

private:
    std::vector<member_declarations> members_;
    // For each service: its indexes in `members_` and in that member's
    // `services`.
    std::map<service_name, std::pair<std::size_t, std::size_t>> services_;
};

} // namespace pollenhall
