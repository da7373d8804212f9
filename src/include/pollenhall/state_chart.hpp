// State charts that are kept in INI files and interpreted: the life of an
// upstream, of a peer, and the stop of a node.

#pragma once

#include <pollenhall/findings.hpp>
#include <pollenhall/ids.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Code of a state; the same on every node, because it is sent to peers.
using state_code = strong_value<struct state_code_tag, int>;

/// A chart: states, the events each of them accepts, and flags on states.
///
///     [chart]
///     initial = absent
///     events = announced, left
///     flags = accepts-work
///
///     [state absent]
///     code = 0
///     announced = serving
class state_chart
{
public:
    /// Parses and checks a chart. Findings are added for undefined states,
    /// events and flags, codes that occur twice and unreachable states.
    static state_chart parse(std::string_view path, std::string_view text,
                             finding_list& findings);

    [[nodiscard]] state_code initial() const { return initial_; }
    /// The state after `event`; empty if `state` does not accept the event.
    [[nodiscard]] std::optional<state_code> next(state_code state,
                                                 std::string_view event) const;
    /// Whether `state` carries the flag; false for an unknown state.
    [[nodiscard]] bool has_flag(state_code state, std::string_view flag) const;
    /// Name of the state; `unknown` if there is none of that code.
    [[nodiscard]] std::string_view name(state_code state) const;
    /// Code of the state of that name.
    [[nodiscard]] std::optional<state_code>
    find(std::string_view state_name) const;
    /// Whether the chart lists the event.
    [[nodiscard]] bool has_event(std::string_view event) const;

private:
    struct state
    {
        std::string name;
        std::map<std::string, std::string, std::less<>> transitions;
        std::set<std::string, std::less<>> flags;
        int line = 0;
    };

    friend class chart_parser;

    std::map<state_code, state> states_;
    std::map<std::string, state_code, std::less<>> codes_;
    std::set<std::string, std::less<>> events_;
    state_code initial_;
};

} // namespace pollenhall
