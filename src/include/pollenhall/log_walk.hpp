// Finds in the logs of nodes what became of one request: its own lines, those
// of the calls that it led to, and what changed on the hosts meanwhile.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// One line of a log: `key=value` pairs, values with spaces in quotes.
struct log_line
{
    // Where it was read, for instance a file's name.
    std::string source;
    std::string text;
    std::map<std::string, std::string> fields;

    /// Value of a field; empty if the line has none of that name.
    [[nodiscard]] std::string_view field(std::string const& name) const;
};

/// Reads a line. One without an event has no fields that can be looked for.
log_line parse_log_line(std::string source, std::string text);

/// What the logs say of a request.
struct log_walk
{
    // In the order of their times.
    std::vector<log_line> lines;
    // The call at which the failure began, the deepest one that was not
    // served; empty if all were.
    std::string failed_call;
    // Its reason, as the line has it.
    std::string reason;
};

/// Follows request `id` through `lines`. Lines on a change of what a node
/// believes are kept if they fall between its first and its last line, or up
/// to two seconds before.
log_walk walk_logs(std::vector<log_line> const& lines, std::string_view id);

} // namespace pollenhall
