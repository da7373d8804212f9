// Parsing, selection and sorting of log lines.

#include <pollenhall/request_log.hpp>

#include <algorithm>
#include <array>

namespace pollenhall
{
namespace
{

// A state change up to this long before a request can explain its failure:
// heartbeats, watches and health checks take about as long.
constexpr int change_window_ms = 2'000;

// Events about state changes of a node that can explain a rejected request.
constexpr std::array<std::string_view, 17> state_change_events{
    "configuration_in_force",
    "configuration_not_readable",
    "hosts_known",
    "node_started",
    "node_stopped",
    "node_stopping",
    "request_suspected",
    "store_history_gone",
    "store_lost",
    "store_news_lost",
    "store_news_regained",
    "store_regained",
    "traffic_stopped",
    "upstream_changed",
    "upstream_crashed",
    "upstream_health_checked",
    "crash_suspicion_heard"};

bool is_state_change(log_line const& line)
{
    return std::find(state_change_events.begin(), state_change_events.end(),
                     line.field("event")) != state_change_events.end();
}

bool belongs_to(std::string_view line_id, std::string_view id)
{
    return line_id == id ||
           (line_id.size() > id.size() && line_id.starts_with(id) &&
            line_id[id.size()] == '.');
}

/// Returns the milliseconds since midnight of a timestamp such as
/// 2026-12-04T14:23:46.354Z; -1 if it cannot be parsed.
int milliseconds_since_midnight(std::string_view time)
{
    auto const number = [&](std::size_t position, std::size_t size)
    {
        int value = 0;
        for (std::size_t i = position; i < position + size; ++i)
        {
            if (time[i] < '0' || time[i] > '9')
                return -1;
            value = value * 10 + (time[i] - '0');
        }
        return value;
    };
    if (time.size() < 23)
        return -1;
    auto const hours = number(11, 2);
    auto const minutes = number(14, 2);
    auto const whole_seconds = number(17, 2);
    auto const ms = number(20, 3);
    if (hours < 0 || minutes < 0 || whole_seconds < 0 || ms < 0)
        return -1;
    return ((hours * 60 + minutes) * 60 + whole_seconds) * 1'000 + ms;
}

} // namespace

std::string_view log_line::field(std::string const& name) const
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::string_view{} : found->second;
}

log_line parse_log_line(std::string source, std::string text)
{
    log_line line{
        .source = std::move(source), .text = std::move(text), .fields = {}};
    std::string_view rest = line.text;
    while (!rest.empty())
    {
        auto const start = rest.find_first_not_of(' ');
        if (start == std::string_view::npos)
            break;
        rest.remove_prefix(start);
        auto const equals = rest.find('=');
        auto const space = rest.find(' ');
        if (equals == std::string_view::npos || space < equals)
        {
            rest.remove_prefix(std::min(space, rest.size()));
            continue;
        }
        std::string const key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::string value;
        if (rest.starts_with('"'))
        {
            std::size_t position = 1;
            for (; position < rest.size() && rest[position] != '"'; ++position)
            {
                if (rest[position] == '\\' && position + 1 < rest.size())
                    ++position;
                value += rest[position];
            }
            rest.remove_prefix(std::min(position + 1, rest.size()));
        }
        else
        {
            auto const end = std::min(rest.find(' '), rest.size());
            value = rest.substr(0, end);
            rest.remove_prefix(end);
        }
        line.fields.insert_or_assign(key, value);
    }
    return line;
}

request_log collect_request_log(std::vector<log_line> const& lines,
                                std::string_view id)
{
    request_log result;
    int first = -1;
    int last = -1;
    for (auto const& line : lines)
    {
        if (!belongs_to(line.field("id"), id))
            continue;
        auto const time = milliseconds_since_midnight(line.field("ts"));
        first = first < 0 ? time : std::min(first, time);
        last = std::max(last, time);
        result.lines.push_back(line);
        auto const event = line.field("event");
        if ((event == "call_not_served" || event == "request_refused") &&
            line.field("id").size() >= result.failed_call.size())
        {
            result.failed_call = line.field("id");
            result.reason = line.field("reason");
        }
    }
    for (auto const& line : lines)
    {
        auto const time = milliseconds_since_midnight(line.field("ts"));
        if (first >= 0 && is_state_change(line) &&
            time >= first - change_window_ms && time <= last)
            result.lines.push_back(line);
    }
    std::stable_sort(result.lines.begin(), result.lines.end(),
                     [](auto const& left, auto const& right)
                     { return left.field("ts") < right.field("ts"); });
    return result;
}

} // namespace pollenhall
