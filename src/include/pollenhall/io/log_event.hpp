// Structured logs: one line of key=value pairs for each event, written by
// glog. Values are quoted, so that no input can forge a line or a pair.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// How urgent an event is.
enum class log_level
{
    info,
    warning,
    error
};

/// Sets glog up to write bare lines to standard error; call it once.
void start_logging(std::string_view program);

/// Replaces what writes the lines; set it before the first line.
void set_log_writer(std::function<void(log_level, std::string const&)> writer);

/// Builds one line; written when the object is destroyed. Events of one name
/// are limited to a number each second; what was left out is counted in the
/// next line's `suppressed` pair.
class log_event
{
public:
    /// `name` is a stable name such as `peer_connected`.
    explicit log_event(std::string_view name,
                       log_level level = log_level::info);
    log_event(log_event const&) = delete;
    log_event& operator=(log_event const&) = delete;
    ~log_event();

    log_event& add(std::string_view key, std::string_view value);
    log_event& add(std::string_view key, std::int64_t value);

private:
    log_level level_;
    // Empty if the line is suppressed.
    std::string line_;
};

/// Returns `value` as it stands in a line: bare if it is a plain word, else
/// in double quotes with control characters and quotes escaped.
std::string quote_log_value(std::string_view value);

} // namespace pollenhall
