// Implements parsing, checking and interpreting of state charts.

#include <pollenhall/ini_document.hpp>
#include <pollenhall/state_chart.hpp>
#include <pollenhall/value_reader.hpp>

#include <utility>

namespace pollenhall
{

namespace
{
constexpr number_range code_range{0, 255};
constexpr std::string_view state_section_prefix = "state ";
} // namespace

/// Parses the INI text of a chart. Reads [chart] before all [state NAME]
/// sections, because these refer to its events and flags.
class chart_parser
{
public:
    chart_parser(std::string_view path, finding_list& findings)
        : path_(path), findings_(&findings)
    {
    }

    state_chart parse(std::string_view text)
    {
        auto const document = ini_document::parse(path_, text, *findings_);
        for (auto const& section : document.sections())
        {
            if (section.name == "chart")
                read_chart_section(section);
        }
        for (auto const& section : document.sections())
        {
            if (section.name.starts_with(state_section_prefix))
                read_state_section(section);
            else if (section.name != "chart")
                report(section.line, "unknown section [" + section.name +
                                         "]; allowed are [chart] and "
                                         "[state NAME]");
        }
        resolve_initial();
        check_transitions();
        check_reachable();
        return std::move(chart_);
    }

private:
    void report(int line, std::string message)
    {
        findings_->add(path_, line, std::move(message));
    }

    void read_chart_section(ini_section const& section)
    {
        value_reader reader(path_, section, *findings_);
        initial_name_ = reader.required_name("initial");
        initial_line_ = reader.line_of("initial");
        for (auto& event : reader.list("events"))
            chart_.events_.insert(std::move(event));
        for (auto& flag : reader.list("flags"))
            flags_.insert(std::move(flag));
        reader.report_unknown();
    }

    void read_state_section(ini_section const& section)
    {
        value_reader reader(path_, section, *findings_);
        auto const code =
            state_code(static_cast<int>(reader.number("code", code_range, -1)));
        state_chart::state state;
        state.name = section.name.substr(state_section_prefix.size());
        state.line = section.line;
        if (!reader.has("code"))
            report(section.line, "state has no code");
        for (auto const& entry : section.entries)
            read_state_entry(entry, state);
        chart_.codes_.emplace(state.name, code);
        if (!chart_.states_.emplace(code, std::move(state)).second)
            report(reader.line_of("code"),
                   "code " + std::to_string(code.value()) +
                       " belongs to another state already");
    }

    void read_state_entry(ini_entry const& entry, state_chart::state& state)
    {
        if (entry.name == "code")
            return;
        if (flags_.contains(entry.name))
        {
            if (entry.value == "yes")
                state.flags.insert(entry.name);
            else if (entry.value != "no")
                report(entry.line, "flag " + entry.name + " is '" +
                                       entry.value +
                                       "'; allowed are yes and no");
            return;
        }
        if (!chart_.events_.contains(entry.name))
        {
            report(entry.line,
                   "event or flag '" + entry.name + "' is not defined");
            return;
        }
        state.transitions.emplace(entry.name, entry.value);
        transition_lines_.emplace(std::pair(state.name, entry.name),
                                  entry.line);
    }

    void resolve_initial()
    {
        auto const found = chart_.codes_.find(initial_name_);
        if (found != chart_.codes_.end())
            chart_.initial_ = found->second;
        else
            report(initial_line_,
                   "initial state '" + initial_name_ + "' is not defined");
    }

    void check_transitions()
    {
        for (auto const& [code, state] : chart_.states_)
        {
            for (auto const& [event, target] : state.transitions)
            {
                if (!chart_.codes_.contains(target))
                    report(transition_lines_[{state.name, event}],
                           "state '" + target + "' is not defined");
            }
        }
    }

    void check_reachable()
    {
        std::set<std::string> reached;
        std::vector<std::string> pending{initial_name_};
        while (!pending.empty())
        {
            auto const name = pending.back();
            pending.pop_back();
            auto const code = chart_.codes_.find(name);
            if (code == chart_.codes_.end() || !reached.insert(name).second)
                continue;
            for (auto const& [event, target] :
                 chart_.states_[code->second].transitions)
                pending.push_back(target);
        }
        for (auto const& [code, state] : chart_.states_)
        {
            if (!reached.contains(state.name))
                report(state.line, "state '" + state.name +
                                       "' cannot be reached from '" +
                                       initial_name_ + "'");
        }
    }

    std::string path_;
    finding_list* findings_;
    state_chart chart_;
    std::string initial_name_;
    int initial_line_ = 0;
    std::set<std::string, std::less<>> flags_;
    std::map<std::pair<std::string, std::string>, int> transition_lines_;
};

state_chart state_chart::parse(std::string_view path, std::string_view text,
                               finding_list& findings)
{
    return chart_parser(path, findings).parse(text);
}

std::optional<state_code> state_chart::next(state_code state,
                                            std::string_view event) const
{
    auto const found = states_.find(state);
    if (found == states_.end())
        return std::nullopt;
    auto const transition = found->second.transitions.find(event);
    if (transition == found->second.transitions.end())
        return std::nullopt;
    return find(transition->second);
}

bool state_chart::has_flag(state_code state, std::string_view flag) const
{
    auto const found = states_.find(state);
    return found != states_.end() && found->second.flags.contains(flag);
}

std::string_view state_chart::name(state_code state) const
{
    auto const found = states_.find(state);
    if (found == states_.end())
        return "unknown";
    return found->second.name;
}

std::optional<state_code> state_chart::find(std::string_view state_name) const
{
    auto const found = codes_.find(state_name);
    if (found == codes_.end())
        return std::nullopt;
    return found->second;
}

bool state_chart::has_event(std::string_view event) const
{
    return events_.contains(event);
}

} // namespace pollenhall
