// Structured logging: one line of key=value pairs per event, written by glog
// unless another writer is set. Values are quoted so that untrusted input
// cannot inject lines or pairs.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// Severity of an event.
enum class log_level
{
    info,
    warning,
    error
};

/// Configures glog to write lines without a prefix to standard error. Call once
/// per process.
void start_logging(std::string_view program);

/// Replaces the function that writes lines. Call before the first event is
/// logged.
void set_log_writer(std::function<void(log_level, std::string const&)> writer);

/// Builds one line, which the destructor writes. Lines are rate-limited per
/// event name; the next line of that name reports the number of omitted lines
/// as `suppressed`.
class log_event
{
public:
    /// `name` is a constant such as `peer_unreachable`; operators' tools match
    /// it.
    explicit log_event(std::string_view name,
                       log_level level = log_level::info);
    log_event(log_event const&) = delete;
    log_event& operator=(log_event const&) = delete;
    ~log_event();

    log_event& add(std::string_view key, std::string_view value);
    log_event& add(std::string_view key, std::int64_t value);

private:
    log_level level_;
    // Empty if the line is suppressed by the rate limit.
    std::string line_;
};

/// Formats a value for a log line: unquoted if it is a plain word, otherwise in
/// double quotes with quotes, backslashes and all bytes outside printable ASCII
/// escaped. Values longer than 512 bytes are truncated.
std::string quote_log_value(std::string_view value);

} // namespace pollenhall
