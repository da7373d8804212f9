// Implements structured logging: rate limit, formatting and the glog writer.

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>

#include <glog/logging.h>

namespace pollenhall
{
namespace
{

constexpr int max_lines_per_second = 50;
constexpr std::size_t max_value_bytes = 512;

// Rate limit: counts the lines per event name in one-second windows.
class event_limiter
{
public:
    // Returns whether a line may be written. If so, sets `suppressed` to the
    // number of lines suppressed since the last one.
    bool allow(std::string_view name, int& suppressed)
    {
        std::lock_guard const lock(mutex_);
        auto found = counts_.find(name);
        if (found == counts_.end())
            found = counts_.emplace(name, count{}).first;
        auto& item = found->second;
        auto const now = mono_now();
        if (now >= item.start + seconds{1})
        {
            item.start = now;
            item.written = 0;
        }
        if (item.written >= max_lines_per_second)
        {
            ++item.suppressed;
            return false;
        }
        ++item.written;
        suppressed = item.suppressed;
        item.suppressed = 0;
        return true;
    }

private:
    struct count
    {
        mono_time start{};
        int written = 0;
        int suppressed = 0;
    };

    std::mutex mutex_;
    std::map<std::string, count, std::less<>> counts_;
};

event_limiter& limiter()
{
    static event_limiter instance;
    return instance;
}

std::string format_time(wall_time time)
{
    auto const total = time.time_since_epoch().count();
    auto const whole = static_cast<std::time_t>(total / 1000);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 32> text{};
    auto const size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(total % 1000));
    return std::string(text.data(), size) + fraction.data();
}

std::string_view to_string(log_level level)
{
    constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

void write_with_glog(log_level level, std::string const& line)
{
    switch (level)
    {
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

std::function<void(log_level, std::string const&)>& log_writer()
{
    static std::function<void(log_level, std::string const&)> writer =
        write_with_glog;
    return writer;
}

bool is_plain(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(),
                                         [](char c)
                                         {
                                             return (c >= 'a' && c <= 'z') ||
                                                    (c >= 'A' && c <= 'Z') ||
                                                    (c >= '0' && c <= '9') ||
                                                    c == '_' || c == '-' ||
                                                    c == '.' || c == '/' ||
                                                    c == ':' || c == '+';
                                         });
}

} // namespace

void start_logging(std::string_view program)
{
    static std::string const name(program);
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(name.c_str());
}

void set_log_writer(std::function<void(log_level, std::string const&)> writer)
{
    log_writer() = std::move(writer);
}

std::string quote_log_value(std::string_view value)
{
    value = value.substr(0, max_value_bytes);
    if (is_plain(value))
        return std::string(value);
    std::string quoted = "\"";
    for (char const c : value)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            quoted += '\\';
            quoted += c;
        }
        else if (byte < 0x20 || byte >= 0x7F)
        {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", byte);
            quoted += escaped.data();
        }
        else
            quoted += c;
    }
    return quoted + "\"";
}

log_event::log_event(std::string_view name, log_level level) : level_(level)
{
    int suppressed = 0;
    if (!limiter().allow(name, suppressed))
        return;
    line_ = "ts=" + format_time(wall_now()) +
            " level=" + std::string(to_string(level)) +
            " event=" + std::string(name);
    if (suppressed > 0)
        add("suppressed", suppressed);
}

log_event& log_event::add(std::string_view key, std::string_view value)
{
    if (!line_.empty())
        line_ += " " + std::string(key) + "=" + quote_log_value(value);
    return *this;
}

log_event& log_event::add(std::string_view key, std::int64_t value)
{
    return add(key, std::to_string(value));
}

log_event::~log_event()
{
    if (line_.empty())
        return;
    log_writer()(level_, line_);
}

} // namespace pollenhall
