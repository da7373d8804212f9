// Formats numbers and times, and writes the report on error budget burn as text
// and JSON.

#include "burn_format.hpp"

#include "burn_output.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <vector>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

json to_json(rpc::burn_kind const& kind)
{
    json windows = json::object();
    for (auto const& line : kind.windows)
        windows[line.window] = {{"ends", line.ends},
                                {"judged", line.judged},
                                {"bad", line.bad},
                                {"burn_rate", line.burn_rate}};
    return {{"service", kind.service_name},
            {"kind", kind.kind},
            {"importance", kind.importance},
            {"objective", kind.objective},
            {"budget_left", kind.budget_left},
            {"alert", kind.alert},
            {"windows", windows}};
}

void write_kinds(std::ostream& out, rpc::burn_reply const& reply)
{
    out << std::left << std::setw(24) << "KIND" << std::right << std::setw(10)
        << "OBJECTIVE" << std::setw(9) << "6H" << std::setw(8) << "BAD"
        << std::setw(12) << "BUDGET LEFT" << std::setw(8) << "5M"
        << std::setw(8) << "1H" << std::setw(8) << "30M" << std::setw(8) << "6H"
        << "  ALERT   WHY\n";
    for (auto const& kind : reply.kinds)
    {
        std::map<std::string, rpc::burn_window_line> by_window;
        for (auto const& line : kind.windows)
            by_window[line.window] = line;
        auto const& longest = by_window["6h"];
        out << std::left << std::setw(24) << kind.service_name + "/" + kind.kind
            << std::right << std::setw(10) << format_share(kind.objective)
            << std::setw(9) << longest.judged << std::setw(8) << longest.bad
            << std::setw(12) << format_share(kind.budget_left);
        for (auto const* window : {"5m", "1h", "30m", "6h"})
            out << std::setw(8) << format_rate(by_window[window].burn_rate);
        out << "  " << std::left << std::setw(7)
            << (kind.alert.empty() ? "-" : kind.alert) << " "
            << format_reasons(longest.ends) << "\n";
    }
}

void write_upstreams(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "\nAt the upstreams, last hour\n"
        << std::left << std::setw(24) << "KIND" << std::setw(16) << "ZONE"
        << std::setw(26) << "NODE" << std::right << std::setw(9) << "IN TIME"
        << "  REFUSED OR LOST\n";
    for (auto const& line : reply.upstreams)
        out << std::left << std::setw(24) << line.service_name + "/" + line.kind
            << std::setw(16) << line.zone << std::setw(26) << line.node
            << std::right << std::setw(9) << line.ends.at("in_time") << "  "
            << format_reasons(line.ends) << "\n";
}

} // namespace

std::string format_share(double share)
{
    std::ostringstream out;
    out << std::setprecision(4) << share * 100 << "%";
    return out.str();
}

std::string format_rate(double rate)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << rate;
    return out.str();
}

std::string format_time(std::int64_t second)
{
    auto const time = static_cast<std::time_t>(second);
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return text.data();
}

std::string format_reasons(std::map<std::string, std::int64_t> const& ends)
{
    std::vector<std::pair<std::int64_t, std::string>> reasons;
    for (auto const& [name, count] : ends)
    {
        if (count > 0 && name != "in_time" && name != "not_judged")
            reasons.emplace_back(-count, name);
    }
    std::sort(reasons.begin(), reasons.end());
    std::string text;
    for (auto const& [count, name] : reasons)
        text +=
            (text.empty() ? "" : ", ") + name + " " + std::to_string(-count);
    return text.empty() ? "-" : text;
}

std::string format_recovery(rpc::burn_episode const& episode)
{
    return episode.recovery_s < 0 ? "not observed yet"
                                  : std::to_string(episode.recovery_s) + " s";
}

void write_burn_text(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "burn of " << reply.member << " at " << format_time(reply.made_at)
        << " UTC, " << reply.nodes_heard << " of " << reply.nodes_known
        << " nodes heard, " << reply.nodes_restarted
        << " of them started within 6 h\n";
    write_kinds(out, reply);
    write_upstreams(out, reply);
    out << "\nImportant requests kept while lower ones were shed: "
        << reply.kept_while_shedding << "\n";
    if (reply.left_out > 0)
        out << "Not counted, because a node had too many kinds: "
            << reply.left_out << "\n";
    out << "Overload episodes in the last ten minutes: "
        << reply.episodes.size() << "\n";
    for (auto const& episode : reply.episodes)
        out << "  " << format_time(episode.start_second) << " to "
            << format_time(episode.end_second) << ", recovery "
            << format_recovery(episode) << "\n";
}

void write_burn_json(std::ostream& out, rpc::burn_reply const& reply)
{
    json kinds = json::array();
    for (auto const& kind : reply.kinds)
        kinds.push_back(to_json(kind));
    json upstreams = json::array();
    for (auto const& line : reply.upstreams)
        upstreams.push_back({{"node", line.node},
                             {"zone", line.zone},
                             {"service", line.service_name},
                             {"kind", line.kind},
                             {"ends", line.ends}});
    json episodes = json::array();
    for (auto const& item : reply.episodes)
        episodes.push_back(
            {{"start_second", item.start_second},
             {"end_second", item.end_second},
             {"recovery_s",
              item.recovery_s < 0 ? json(nullptr) : json(item.recovery_s)}});
    json seconds = json::array();
    for (auto const& item : reply.seconds)
        seconds.push_back({{"second", item.second},
                           {"ended", item.ended},
                           {"in_time", item.in_time},
                           {"shed", item.shed}});
    out << json{{"member", reply.member},
                {"made_at", reply.made_at},
                {"nodes_heard", reply.nodes_heard},
                {"nodes_known", reply.nodes_known},
                {"nodes_restarted", reply.nodes_restarted},
                {"kept_while_shedding", reply.kept_while_shedding},
                {"left_out", reply.left_out},
                {"kinds", kinds},
                {"upstreams", upstreams},
                {"episodes", episodes},
                {"seconds", seconds}}
               .dump(2)
        << "\n";
}

} // namespace pollenhall
