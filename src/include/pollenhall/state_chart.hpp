// State charts that are defined in INI files and interpreted at run time: the
// lifecycles of an upstream and of a peer, and the shutdown of a node.

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

/// Numeric code of a state. It is sent to peers, so it must be the same on
/// every node.
using state_code = strong_value<struct state_code_tag, int>;

/// A state chart: states, the transition for each event that a state accepts,
/// and flags on states. Example:
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
    /// Parses and checks a chart. Adds a finding for each undefined state,
    /// event or flag, duplicate code and unreachable state.
    static state_chart parse(std::string_view path, std::string_view text,
                             finding_list& findings);

    [[nodiscard]] state_code initial() const { return initial_; }
    /// Returns the state after `event`; empty if `state` does not accept it.
    [[nodiscard]] std::optional<state_code> next(state_code state,
                                                 std::string_view event) const;
    /// Returns whether `state` has the flag; false for an unknown state.
    [[nodiscard]] bool has_flag(state_code state, std::string_view flag) const;
    /// Returns the name of the state; `unknown` if no state has that code.
    [[nodiscard]] std::string_view name(state_code state) const;
    /// Returns the code of the state with that name; empty if there is none.
    [[nodiscard]] std::optional<state_code>
    find(std::string_view state_name) const;
    /// Returns whether the chart declares the event.
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
