// Construction of the burn report.

#include "burn_report.hpp"

#include <algorithm>

namespace pollenhall
{
namespace
{

/// Alert that fires while the burn rate in both windows is high. The long
/// window keeps a short spike from firing it; the short window ends it soon
/// after the burn stops.
struct alert_rule
{
    std::string_view name;
    burn_window short_window;
    burn_window long_window;
    /// Minimum burn rate in both windows.
    double min_burn_rate;
};

// These rates consume 2% of a 30-day error budget in one hour and 5% in six
// hours.
constexpr std::array alert_rules{
    alert_rule{"page", burn_window::minutes_5, burn_window::hour_1, 14.4},
    alert_rule{"ticket", burn_window::minutes_30, burn_window::hours_6, 6},
};

std::map<std::string, std::int64_t> counts_by_end_name(end_counts const& counts)
{
    std::map<std::string, std::int64_t> names;
    for (std::size_t i = 0; i < request_end_count; ++i)
        names[std::string(to_string(static_cast<request_end>(i)))] =
            counts.by_end[i];
    return names;
}

end_counts const& in_window(window_counts const& windows, burn_window window)
{
    return windows[static_cast<std::size_t>(window)];
}

std::string find_alert(window_counts const& windows, double objective)
{
    for (auto const& rule : alert_rules)
    {
        auto const in_short =
            burn_rate(in_window(windows, rule.short_window), objective);
        auto const in_long =
            burn_rate(in_window(windows, rule.long_window), objective);
        if (std::min(in_short, in_long) >= rule.min_burn_rate)
            return std::string(rule.name);
    }
    return {};
}

rpc::burn_window_line make_line(burn_window window, end_counts const& counts,
                                double objective)
{
    rpc::burn_window_line line;
    line.window = to_string(window);
    line.ends = counts_by_end_name(counts);
    line.judged = counts.judged();
    line.bad = counts.bad();
    line.burn_rate = burn_rate(counts, objective);
    return line;
}

rpc::burn_kind make_kind(kind_ref const& ref, kind_declaration const& kind,
                         window_counts const& windows)
{
    rpc::burn_kind result;
    result.service_name = ref.service.value();
    result.kind = ref.kind.value();
    result.importance = to_string(kind.level);
    result.objective = kind.objective;
    result.budget_left =
        budget_left(in_window(windows, burn_window::hours_6), kind.objective);
    for (auto const window : all_burn_windows)
        result.windows.push_back(
            make_line(window, in_window(windows, window), kind.objective));
    result.alert = find_alert(windows, kind.objective);
    return result;
}

void add_kinds(rpc::burn_reply& reply, member_name const& member,
               declaration_set const& declarations, burn_summary const& sum)
{
    for (auto const& item : declarations.members())
    {
        if (item.name != member)
            continue;
        for (auto const& service : item.services)
        {
            for (auto const& kind : service.kinds)
            {
                // The rows in answers carry no member name; all of them belong
                // to the queried member.
                burn_key const key{.member = member_name(),
                                   .kind = {service.name, kind.name}};
                auto const found = sum.rows.find(key);
                reply.kinds.push_back(make_kind(
                    key.kind, kind,
                    found == sum.rows.end() ? window_counts{} : found->second));
            }
        }
    }
}

void add_upstreams(rpc::burn_reply& reply, query_result const& result)
{
    for (auto const& answer : result.answers)
    {
        for (auto const& [key, windows] : answer.burn.rows)
        {
            if (key.place != measurement_point::upstream)
                continue;
            rpc::burn_upstream line;
            line.node = answer.node.value();
            line.zone = answer.zone.value();
            line.service_name = key.kind.service.value();
            line.kind = key.kind.kind.value();
            line.ends =
                counts_by_end_name(in_window(windows, burn_window::hour_1));
            reply.upstreams.push_back(std::move(line));
        }
    }
    std::sort(reply.upstreams.begin(), reply.upstreams.end(),
              [](auto const& left, auto const& right)
              {
                  return std::tie(left.service_name, left.kind, left.zone,
                                  left.node) < std::tie(right.service_name,
                                                        right.kind, right.zone,
                                                        right.node);
              });
}

void add_seconds_and_episodes(rpc::burn_reply& reply, burn_summary const& sum)
{
    for (auto const& item : sum.seconds)
    {
        rpc::burn_second line;
        line.second = item.second;
        line.ended = item.ended;
        line.in_time = item.in_time;
        line.shed = item.shed;
        reply.seconds.push_back(line);
    }
    for (auto const& item : find_episodes(sum.seconds))
    {
        rpc::burn_episode line;
        line.start_second = item.start_second;
        line.end_second = item.end_second;
        line.recovery_s = item.recovery_s.value_or(-1);
        reply.episodes.push_back(line);
    }
}

} // namespace

int count_known_nodes(query_result const& result)
{
    return static_cast<int>(
        std::count_if(result.nodes.begin(), result.nodes.end(),
                      [](peer_info const& peer)
                      { return peer.life != peer_liveness::left; }));
}

rpc::burn_reply make_burn_reply(member_name const& member,
                                declaration_set const& declarations,
                                query_result const& result, wall_time now)
{
    auto const longest_window_start =
        now - std::chrono::minutes(minutes_of(burn_window::hours_6));
    rpc::burn_reply reply;
    burn_summary sum;
    reply.nodes_restarted = 0;
    for (auto const& answer : result.answers)
    {
        sum += answer.burn;
        if (answer.boot.value() >
            longest_window_start.time_since_epoch().count())
            ++reply.nodes_restarted;
    }
    reply.member = member.value();
    reply.made_at =
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    reply.nodes_heard = static_cast<int>(result.answers.size());
    reply.nodes_known = count_known_nodes(result);
    reply.kept_while_shedding = sum.kept_while_shedding;
    reply.left_out = sum.left_out;
    add_kinds(reply, member, declarations, sum);
    add_upstreams(reply, result);
    add_seconds_and_episodes(reply, sum);
    return reply;
}

} // namespace pollenhall
