// Writes the report on error budget burn as an HTML page with SVG plots.

#include "burn_format.hpp"
#include "burn_output.hpp"

#include <algorithm>
#include <ostream>
#include <sstream>
#include <string_view>

namespace pollenhall
{
namespace
{

// Size of a plot in SVG user units.
constexpr double plot_width = 720;
constexpr double plot_height = 180;
constexpr std::string_view page_style = R"(
:root{--ink:#1b1f24;--soft:#5b6470;--line:#d6dae0;--good:#1f6f5c;--bad:#b3402a;
--load:#8a94a3}
body{font:15px/1.5 system-ui,sans-serif;color:var(--ink);background:#fff;
max-width:76rem;margin:0 auto;padding:1.5rem}
h1{font-size:1.5rem;margin:0}h2{font-size:1.1rem;margin:2rem 0 .5rem}
p{margin:.3rem 0;color:var(--soft)}
.scroll{overflow-x:auto}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{text-align:right;padding:.3rem .6rem;border-bottom:1px solid var(--line);
white-space:nowrap}
th{font-weight:600;color:var(--soft);font-size:.85rem}
th:first-child,td:first-child,.t{text-align:left}
td.over{color:var(--bad);font-weight:600}
td.t:last-child{white-space:normal;min-width:14rem}
svg{width:100%;display:block}
.plot svg{height:12rem}
.axis{display:flex;justify-content:space-between;color:var(--soft);
font-size:.8rem}
.bars{display:grid;grid-template-columns:max-content 1fr max-content;
gap:.2rem .6rem;align-items:center;font-size:.85rem;
font-variant-numeric:tabular-nums}
.bars svg{height:.9rem}
.key i{display:inline-block;width:1.4em;height:.2em;vertical-align:middle;
margin:0 .4em 0 1em}
@media print{body{max-width:none;padding:0}h2{break-after:avoid}
svg,tr{break-inside:avoid}}
)";

std::string escape(std::string_view text)
{
    std::string result;
    for (char const character : text)
    {
        switch (character)
        {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

/// Maps times and request counts to the coordinates of a plot.
class plot_scale
{
public:
    explicit plot_scale(std::vector<rpc::burn_second> const& seconds)
        : first_(seconds.front().second), last_(seconds.back().second)
    {
        for (auto const& item : seconds)
            max_count_ = std::max(max_count_, item.ended);
    }

    [[nodiscard]] double x(std::int64_t second) const
    {
        auto const span =
            static_cast<double>(std::max<std::int64_t>(last_ - first_, 1));
        return plot_width * static_cast<double>(second - first_) / span;
    }
    [[nodiscard]] double y(std::int64_t count) const
    {
        return plot_height * (1 - static_cast<double>(count) /
                                      static_cast<double>(max_count_));
    }
    [[nodiscard]] std::int64_t max_count() const { return max_count_; }

private:
    std::int64_t first_;
    std::int64_t last_;
    std::int64_t max_count_ = 1;
};

void write_line(std::ostream& out, std::vector<rpc::burn_second> const& seconds,
                plot_scale const& scale, std::int64_t rpc::burn_second::*count,
                std::string_view color)
{
    out << "<polyline fill='none' stroke='" << color
        << "' stroke-width='1.5' vector-effect='non-scaling-stroke' points='";
    std::int64_t previous = seconds.front().second;
    for (auto const& item : seconds)
    {
        // Seconds without requests are omitted from the reply; draw them as 0.
        if (item.second > previous + 1)
            out << scale.x(previous + 1) << "," << scale.y(0) << " "
                << scale.x(item.second - 1) << "," << scale.y(0) << " ";
        out << scale.x(item.second) << "," << scale.y(item.*count) << " ";
        previous = item.second;
    }
    out << "'/>";
}

void write_goodput(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "<h2>Whole requests per second, last ten minutes</h2>\n";
    if (reply.seconds.empty())
    {
        out << "<p>No request ended in this time.</p>\n";
        return;
    }
    plot_scale const scale(reply.seconds);
    out << "<p class=key><i style='background:var(--load)'></i>ended"
           "<i style='background:var(--good)'></i>in time"
           "<i style='background:var(--bad)'></i>shed</p>\n"
           "<div class=plot><div class=axis><span>"
        << scale.max_count()
        << "</span></div><svg role=img aria-label='Requests per second' "
           "preserveAspectRatio=none viewBox='0 0 "
        << plot_width << " " << plot_height << "'><line x1='0' x2='"
        << plot_width << "' y1='" << plot_height << "' y2='" << plot_height
        << "' stroke='var(--line)'/>";
    write_line(out, reply.seconds, scale, &rpc::burn_second::ended,
               "var(--load)");
    write_line(out, reply.seconds, scale, &rpc::burn_second::in_time,
               "var(--good)");
    write_line(out, reply.seconds, scale, &rpc::burn_second::shed,
               "var(--bad)");
    out << "</svg><div class=axis><span>"
        << format_time(reply.seconds.front().second) << "</span><span>"
        << format_time(reply.seconds.back().second)
        << " UTC</span></div></div>\n";
}

/// One bar with its label and value.
struct plot_bar
{
    std::string label;
    double value = 0;
    std::string text;
};

void write_bars(std::ostream& out, std::string_view name,
                std::vector<plot_bar> const& bars)
{
    double max_value = 1;
    for (auto const& bar : bars)
        max_value = std::max(max_value, bar.value);
    out << "<div class=bars role=group aria-label='" << name << "'>";
    for (auto const& bar : bars)
        out << "<span>" << escape(bar.label)
            << "</span><svg preserveAspectRatio=none viewBox='0 0 " << max_value
            << " 1'><rect height='1' width='" << std::max(bar.value, 0.0)
            << "' fill='" << (bar.value > 1 ? "var(--bad)" : "var(--good)")
            << "'/></svg><span>" << bar.text << "</span>";
    out << "</div>\n";
}

void write_burn_bars(std::ostream& out, rpc::burn_reply const& reply)
{
    std::vector<plot_bar> bars;
    for (auto const& kind : reply.kinds)
    {
        auto const rate = kind.windows.back().burn_rate;
        bars.push_back({.label = kind.service_name + "/" + kind.kind,
                        .value = rate,
                        .text = format_rate(rate)});
    }
    out << "<h2>Burn rate over six hours</h2>\n<p>At 1 the error budget is "
           "used up exactly.</p>\n";
    write_bars(out, "Burn rate by kind", bars);
}

void write_recovery(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "<h2>Overload episodes, last ten minutes</h2>\n";
    if (reply.episodes.empty())
    {
        out << "<p>Nothing was shed.</p>\n";
        return;
    }
    std::vector<plot_bar> bars;
    for (auto const& episode : reply.episodes)
        bars.push_back({.label = format_time(episode.start_second),
                        .value = static_cast<double>(
                            std::max<std::int64_t>(episode.recovery_s, 0)),
                        .text = format_recovery(episode)});
    out << "<p>Seconds from the last shed request until 99% complete in time "
           "for five seconds.</p>\n";
    write_bars(out, "Recovery by episode", bars);
    out << "<div class=scroll><table><tr><th>Start (UTC)<th>End of overload"
           "<th>Recovery</tr>\n";
    for (auto const& episode : reply.episodes)
        out << "<tr><td>" << format_time(episode.start_second) << "<td>"
            << format_time(episode.end_second) << "<td>"
            << format_recovery(episode) << "</tr>\n";
    out << "</table></div>\n";
}

void write_kind_table(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "<h2>Objectives</h2>\n<div class=scroll><table><tr><th>Kind"
           "<th>Objective<th>Requests, 6 h<th>Missed<th>Budget left"
           "<th>Burn 5 m<th>Burn 30 m<th>Burn 1 h<th>Burn 6 h<th>Alert"
           "<th class=t>Why</tr>\n";
    for (auto const& kind : reply.kinds)
    {
        auto const& longest = kind.windows.back();
        out << "<tr><td>" << escape(kind.service_name + "/" + kind.kind)
            << "<td>" << format_share(kind.objective) << "<td>"
            << longest.judged << "<td>" << longest.bad << "<td"
            << (kind.budget_left < 0 ? " class=over>" : ">")
            << format_share(kind.budget_left);
        for (auto const& line : kind.windows)
            out << "<td" << (line.burn_rate > 1 ? " class=over>" : ">")
                << format_rate(line.burn_rate);
        out << "<td>" << (kind.alert.empty() ? "-" : kind.alert)
            << "<td class=t>" << format_reasons(longest.ends) << "</tr>\n";
    }
    out << "</table></div>\n";
}

void write_upstream_table(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "<h2>At the upstreams, last hour</h2>\n<div class=scroll><table>"
           "<tr><th>Kind<th class=t>Zone<th class=t>Node<th>In time"
           "<th class=t>Refused or lost</tr>\n";
    for (auto const& line : reply.upstreams)
        out << "<tr><td>" << escape(line.service_name + "/" + line.kind)
            << "<td class=t>" << escape(line.zone) << "<td class=t>"
            << escape(line.node) << "<td>" << line.ends.at("in_time")
            << "<td class=t>" << format_reasons(line.ends) << "</tr>\n";
    out << "</table></div>\n";
}

} // namespace

void write_burn_html(std::ostream& out, rpc::burn_reply const& reply)
{
    out << "<!doctype html>\n<html lang=en><meta charset=utf-8>"
           "<meta name=viewport content='width=device-width'>\n<title>Burn of "
        << escape(reply.member) << "</title><style>" << page_style
        << "</style>\n<h1>Service-level burn: " << escape(reply.member)
        << "</h1>\n<p>" << format_time(reply.made_at) << " UTC. "
        << reply.nodes_heard << " of " << reply.nodes_known << " nodes heard, "
        << reply.nodes_restarted
        << " of them started within 6 h. Important requests kept while lower "
           "ones were shed: "
        << reply.kept_while_shedding << ".</p>\n";
    write_kind_table(out, reply);
    write_goodput(out, reply);
    write_burn_bars(out, reply);
    write_recovery(out, reply);
    write_upstream_table(out, reply);
    out << "</html>\n";
}

} // namespace pollenhall
