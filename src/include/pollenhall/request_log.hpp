// Extracts the log lines of one request from the logs of nodes: its own lines,
// those of the calls it caused, and state changes of the nodes at that time.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// A log line: `key=value` pairs; values with spaces are quoted.
struct log_line
{
    /// Origin of the line, such as a file name.
    std::string source;
    std::string text;
    std::map<std::string, std::string> fields;

    /// Returns the value of a field; empty if the line has no such field.
    [[nodiscard]] std::string_view field(std::string const& name) const;
};

/// Parses a log line. Text that is not a `key=value` pair is skipped.
log_line parse_log_line(std::string source, std::string text);

/// The log lines of a request and the cause of its failure.
struct request_log
{
    /// Sorted by time.
    std::vector<log_line> lines;
    /// Id of the call that caused the failure: the deepest one that was not
    /// served; empty if all were served.
    std::string failed_call;
    /// Reason of that failure, as logged.
    std::string reason;
};

/// Selects the lines of request `id` and of its calls. Lines about a state
/// change of a node are included if they lie between the first and the last
/// line of the request, or up to two seconds before the first.
request_log collect_request_log(std::vector<log_line> const& lines,
                                std::string_view id);

} // namespace pollenhall
