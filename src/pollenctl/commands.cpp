// Implements the commands and their text and JSON output.

#include "commands.hpp"

#include "burn_output.hpp"
#include "declaration_folder.hpp"
#include "log_command.hpp"
#include "operator_connection.hpp"

#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

json to_json(std::vector<finding> const& findings)
{
    json list = json::array();
    for (auto const& item : findings)
        list.push_back({{"path", item.path},
                        {"line", item.line},
                        {"message", item.message}});
    return list;
}

std::vector<finding> from_rpc(std::vector<rpc::finding> const& findings)
{
    std::vector<finding> result;
    result.reserve(findings.size());
    for (auto const& item : findings)
        result.push_back(
            {.path = item.path, .line = item.line, .message = item.message});
    return result;
}

int report_findings(command_arguments const& arguments,
                    std::vector<finding> const& findings)
{
    if (arguments.wants_json())
        std::cout << json{{"findings", to_json(findings)}}.dump(2) << "\n";
    else
    {
        for (auto const& item : findings)
            std::cout << to_string(item) << "\n";
        std::cout << findings.size() << " findings\n";
    }
    return findings.empty() ? exit_code::done : exit_code::findings;
}

// Reads and validates the folder; returns its files as documents for the node.
std::vector<rpc::document> read_documents(command_arguments const& arguments,
                                          finding_list& findings)
{
    auto const files = read_folder(arguments.positional, findings);
    parse_declarations(files, findings);
    findings.sort();
    std::vector<rpc::document> documents;
    for (auto const& file : files)
    {
        rpc::document document;
        document.path = file.path;
        document.text = file.text;
        documents.push_back(std::move(document));
    }
    return documents;
}

bool is_folder_missing(command_arguments const& arguments,
                       std::string_view command_name)
{
    if (!arguments.positional.empty())
        return false;
    std::cerr << "pollenctl: " << command_name
              << " needs a folder of declarations\n";
    return true;
}

std::string make_apply_id()
{
    std::random_device device;
    std::ostringstream id;
    id << std::hex << std::setfill('0');
    for (int i = 0; i < 4; ++i)
        id << std::setw(8) << device();
    return id.str();
}

char const* name_of(rpc::change_kind::type kind)
{
    return rpc::_change_kind_VALUES_TO_NAMES.at(static_cast<int>(kind));
}

json to_json(std::vector<rpc::document_change> const& changes)
{
    json list = json::array();
    for (auto const& change : changes)
        list.push_back({{"path", change.path},
                        {"change", name_of(change.kind)},
                        {"before", change.before},
                        {"after", change.after}});
    return list;
}

std::vector<std::string> split_lines(std::string const& text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

// Prints the lines that occur in only one of the texts, in the order of the
// texts.
void print_line_changes(std::string const& before, std::string const& after)
{
    auto const old_lines = split_lines(before);
    auto const new_lines = split_lines(after);
    std::multiset<std::string> const in_old(old_lines.begin(), old_lines.end());
    std::multiset<std::string> const in_new(new_lines.begin(), new_lines.end());
    for (auto const& line : old_lines)
    {
        if (!in_new.contains(line))
            std::cout << "    - " << line << "\n";
    }
    for (auto const& line : new_lines)
    {
        if (!in_old.contains(line))
            std::cout << "    + " << line << "\n";
    }
}

void print_changes(std::vector<rpc::document_change> const& changes)
{
    for (auto const& change : changes)
    {
        std::cout << "  " << name_of(change.kind) << " " << change.path << "\n";
        print_line_changes(change.before, change.after);
    }
}

operator_connection connect(command_arguments const& arguments)
{
    return {arguments.node, read_key_file(arguments.key_file)};
}

int run_check(command_arguments const& arguments)
{
    if (is_folder_missing(arguments, "check"))
        return exit_code::usage;
    finding_list findings;
    read_documents(arguments, findings);
    return report_findings(arguments, findings.items());
}

int run_diff(command_arguments const& arguments)
{
    if (is_folder_missing(arguments, "diff"))
        return exit_code::usage;
    finding_list findings;
    auto const documents = read_documents(arguments, findings);
    if (!findings.empty())
        return report_findings(arguments, findings.items());
    auto node = connect(arguments);
    rpc::diff_reply reply;
    node->diff(reply, documents);
    if (!reply.findings.empty())
        return report_findings(arguments, from_rpc(reply.findings));
    if (arguments.wants_json())
        std::cout << json{{"member", reply.member},
                          {"base_generation", reply.base_generation},
                          {"changes", to_json(reply.changes)}}
                         .dump(2)
                  << "\n";
    else
    {
        std::cout << reply.changes.size() << " changes for member "
                  << reply.member << " since generation "
                  << reply.base_generation << "\n";
        print_changes(reply.changes);
    }
    return exit_code::done;
}

int to_exit_code(rpc::apply_result::type result)
{
    switch (result)
    {
    case rpc::apply_result::accepted:
    case rpc::apply_result::unchanged:
        return exit_code::done;
    case rpc::apply_result::invalid:
        return exit_code::findings;
    case rpc::apply_result::conflict:
        return exit_code::conflict;
    case rpc::apply_result::not_accepted:
    case rpc::apply_result::not_known:
        break;
    }
    return exit_code::unreachable;
}

void print_apply_text(rpc::apply_reply const& reply,
                      std::string const& apply_id)
{
    for (auto const& item : from_rpc(reply.findings))
        std::cout << to_string(item) << "\n";
    std::cout << "result "
              << rpc::_apply_result_VALUES_TO_NAMES.at(
                     static_cast<int>(reply.result))
              << ", member " << reply.member << ", generation "
              << reply.generation << ", apply id " << apply_id << "\n";
    if (!reply.message.empty())
        std::cout << reply.message << "\n";
    if (reply.result == rpc::apply_result::conflict)
    {
        std::cout << "changed concurrently by " << reply.others_actor << ":\n";
        print_changes(reply.others_changes);
    }
    if (reply.result == rpc::apply_result::not_known)
        std::cout << "query the result with: pollenctl settle --member "
                  << reply.member << " --apply-id " << apply_id << "\n";
}

int report_apply(command_arguments const& arguments,
                 rpc::apply_reply const& reply, std::string const& apply_id)
{
    if (arguments.wants_json())
        std::cout << json{{"result", rpc::_apply_result_VALUES_TO_NAMES.at(
                                         static_cast<int>(reply.result))},
                          {"member", reply.member},
                          {"generation", reply.generation},
                          {"apply_id", apply_id},
                          {"message", reply.message},
                          {"findings", to_json(from_rpc(reply.findings))},
                          {"others_actor", reply.others_actor},
                          {"others_changes", to_json(reply.others_changes)}}
                         .dump(2)
                  << "\n";
    else
        print_apply_text(reply, apply_id);
    return to_exit_code(reply.result);
}

int run_apply(command_arguments const& arguments)
{
    if (is_folder_missing(arguments, "apply"))
        return exit_code::usage;
    finding_list findings;
    rpc::apply_request request;
    request.documents = read_documents(arguments, findings);
    if (!findings.empty())
        return report_findings(arguments, findings.items());
    request.base_generation = arguments.base;
    request.apply_id =
        arguments.apply_id.empty() ? make_apply_id() : arguments.apply_id;
    request.actor = arguments.actor;
    auto node = connect(arguments);
    rpc::apply_reply reply;
    node->apply(reply, request);
    return report_apply(arguments, reply, request.apply_id);
}

int run_settle(command_arguments const& arguments)
{
    if (arguments.member.empty() || arguments.apply_id.empty())
    {
        std::cerr << "pollenctl: settle needs --member and --apply-id\n";
        return exit_code::usage;
    }
    auto node = connect(arguments);
    rpc::apply_reply reply;
    node->settle(reply, arguments.member, arguments.apply_id);
    return report_apply(arguments, reply, arguments.apply_id);
}

json to_json(rpc::node_status const& node)
{
    return {{"node", node.node},
            {"zone", node.zone},
            {"heard", node.heard},
            {"life", node.life},
            {"service", node.service_name},
            {"upstream_state", node.upstream_state},
            {"generations", node.generations}};
}

void print_status_text(rpc::status_reply const& reply)
{
    std::cout << "node " << reply.node << ", version " << reply.version
              << ", store "
              << (reply.store_reachable ? "reachable" : "not reached recently")
              << "\n";
    for (auto const& [space, newest] : reply.generations)
    {
        int in_force = 0;
        int heard = 0;
        for (auto const& node : reply.nodes)
        {
            heard += node.heard ? 1 : 0;
            auto const found = node.generations.find(space);
            in_force +=
                found != node.generations.end() && found->second >= newest;
        }
        std::cout << space << " generation " << newest << ": in force on "
                  << in_force << " of " << heard << " nodes heard\n";
    }
    std::cout << std::left << std::setw(24) << "NODE" << std::setw(14) << "ZONE"
              << std::setw(9) << "LIFE" << std::setw(7) << "HEARD"
              << std::setw(16) << "SERVICE"
              << "UPSTREAM\n";
    for (auto const& node : reply.nodes)
        std::cout << std::setw(24) << node.node << std::setw(14) << node.zone
                  << std::setw(9) << node.life << std::setw(7)
                  << (node.heard ? "yes" : "no") << std::setw(16)
                  << node.service_name << node.upstream_state << "\n";
}

int run_status(command_arguments const& arguments)
{
    auto node = connect(arguments);
    rpc::status_reply reply;
    node->status(reply);
    if (!arguments.wants_json())
    {
        print_status_text(reply);
        return exit_code::done;
    }
    json nodes = json::array();
    for (auto const& item : reply.nodes)
        nodes.push_back(to_json(item));
    std::cout << json{{"node", reply.node},
                      {"version", reply.version},
                      {"store_reachable", reply.store_reachable},
                      {"generations", reply.generations},
                      {"nodes", nodes}}
                     .dump(2)
              << "\n";
    return exit_code::done;
}

int run_drain(command_arguments const& arguments)
{
    auto node = connect(arguments);
    if (arguments.undo)
        node->undrain();
    else
        node->drain();
    std::cout << (arguments.undo ? "accepting work again\n" : "draining\n");
    return exit_code::done;
}

json to_json(rpc::board_line const& line)
{
    return {{"service", line.service_name},
            {"kind", line.kind},
            {"offered", line.offered},
            {"completed_in_time", line.completed_in_time},
            {"completed_late", line.completed_late},
            {"not_run", line.not_run},
            {"unknown", line.unknown},
            {"retries", line.retries},
            {"shed", line.shed},
            {"upstream_runs", line.upstream_runs},
            {"runs_for_others", line.runs_for_others},
            {"lent_ms", line.lent_ms},
            {"runs_borrowed", line.runs_borrowed},
            {"borrowed_ms", line.borrowed_ms}};
}

void print_report_text(rpc::report_reply const& reply)
{
    std::cout << "request counts of " << reply.member << ", "
              << reply.nodes_heard << " of " << reply.nodes_known
              << " nodes heard\n";
    std::cout << std::left << std::setw(26) << "KIND" << std::right
              << std::setw(9) << "OFFERED" << std::setw(9) << "IN TIME"
              << std::setw(7) << "LATE" << std::setw(9) << "NOT RUN"
              << std::setw(9) << "UNKNOWN" << std::setw(9) << "RETRIES"
              << std::setw(7) << "SHED" << std::setw(9) << "RUNS"
              << std::setw(9) << "LENT" << std::setw(9) << "BORROWED"
              << "\n";
    for (auto const& line : reply.lines)
        std::cout << std::left << std::setw(26)
                  << line.service_name + "/" + line.kind << std::right
                  << std::setw(9) << line.offered << std::setw(9)
                  << line.completed_in_time << std::setw(7)
                  << line.completed_late << std::setw(9) << line.not_run
                  << std::setw(9) << line.unknown << std::setw(9)
                  << line.retries << std::setw(7) << line.shed << std::setw(9)
                  << line.upstream_runs << std::setw(9) << line.runs_for_others
                  << std::setw(9) << line.runs_borrowed << "\n";
}

int report_burn(command_arguments const& arguments)
{
    auto node = connect(arguments);
    rpc::burn_reply reply;
    node->burn(reply, arguments.member);
    if (arguments.format == "json")
        write_burn_json(std::cout, reply);
    else if (arguments.format == "html")
        write_burn_html(std::cout, reply);
    else
        write_burn_text(std::cout, reply);
    return exit_code::done;
}

int run_report(command_arguments const& arguments)
{
    if (arguments.member.empty())
    {
        std::cerr << "pollenctl: report needs --member\n";
        return exit_code::usage;
    }
    if (arguments.positional == "burn")
        return report_burn(arguments);
    if (!arguments.positional.empty() || arguments.format == "html")
    {
        std::cerr << "pollenctl: expected 'report' with format text or json, "
                     "or 'report burn' with text, json or html\n";
        return exit_code::usage;
    }
    auto node = connect(arguments);
    rpc::report_reply reply;
    node->report(reply, arguments.member);
    if (!arguments.wants_json())
    {
        print_report_text(reply);
        return exit_code::done;
    }
    json lines = json::array();
    for (auto const& line : reply.lines)
        lines.push_back(to_json(line));
    std::cout << json{{"member", reply.member},
                      {"nodes_heard", reply.nodes_heard},
                      {"nodes_known", reply.nodes_known},
                      {"lines", lines}}
                     .dump(2)
              << "\n";
    return exit_code::done;
}

void print_decisions_text(rpc::explain_reply const& reply)
{
    std::cout << reply.decisions.size() << " decisions, " << reply.nodes_heard
              << " of " << reply.nodes_known << " nodes heard\n";
    if (reply.decisions.empty())
    {
        std::cout << "no node has decisions on this request; each node keeps "
                     "its last few thousand decisions\n";
        return;
    }
    auto const start = reply.decisions.front().at_ms;
    for (auto const& line : reply.decisions)
    {
        std::cout << std::right << std::setw(7) << line.at_ms - start << " ms  "
                  << std::left << std::setw(24) << line.node << std::setw(10)
                  << line.point << std::setw(24)
                  << line.service_name + "/" + line.kind << line.outcome;
        if (!line.reason.empty())
            std::cout << ": " << line.reason;
        if (!line.peer.empty())
            std::cout << " (sent to " << line.peer << ")";
        std::cout << "\n";
    }
}

int run_explain(command_arguments const& arguments)
{
    if (arguments.positional.empty())
    {
        std::cerr << "pollenctl: explain needs a trace id, as in the header "
                     "Pollenhall-Trace-Id\n";
        return exit_code::usage;
    }
    auto node = connect(arguments);
    rpc::explain_reply reply;
    node->explain(reply, arguments.positional);
    if (!arguments.wants_json())
    {
        print_decisions_text(reply);
        return exit_code::done;
    }
    json decisions = json::array();
    for (auto const& line : reply.decisions)
        decisions.push_back({{"at_ms", line.at_ms},
                             {"node", line.node},
                             {"zone", line.zone},
                             {"service", line.service_name},
                             {"kind", line.kind},
                             {"point", line.point},
                             {"outcome", line.outcome},
                             {"reason", line.reason},
                             {"peer", line.peer}});
    std::cout << json{{"decisions", decisions},
                      {"nodes_heard", reply.nodes_heard},
                      {"nodes_known", reply.nodes_known}}
                     .dump(2)
              << "\n";
    return exit_code::done;
}

int run_new_key(command_arguments const& arguments)
{
    if (arguments.positional.empty() || arguments.key_file.empty())
    {
        std::cerr << "pollenctl: new-key needs the operator name, platform "
                     "or MEMBER/OPERATOR, and --key-file for the new file\n";
        return exit_code::usage;
    }
    auto const hash = create_key_file(arguments.key_file, arguments.positional);
    std::cout << "key-hash = " << hash << "\n";
    return exit_code::done;
}

// Runs a command; reports its exceptions on standard error and maps them to
// exit codes.
template <int (*Run)(command_arguments const&)>
int run_with_error_handling(command_arguments const& arguments)
{
    try
    {
        return Run(arguments);
    }
    catch (rpc::operator_error const& error)
    {
        std::cerr << "pollenctl: rejected by the node: " << error.message
                  << "\n";
        return exit_code::findings;
    }
    catch (std::invalid_argument const& error)
    {
        std::cerr << "pollenctl: " << error.what() << "\n";
        return exit_code::usage;
    }
    catch (apache::thrift::TException const& error)
    {
        std::cerr << "pollenctl: node " << arguments.node << ": "
                  << error.what() << "\n";
        return exit_code::unreachable;
    }
}

constexpr std::array commands{
    command{"check", "check DIR",
            "Checks a folder of declarations without connecting to a node.",
            &run_with_error_handling<run_check>},
    command{"diff", "diff DIR",
            "Shows the changes that applying the folder would make.",
            &run_with_error_handling<run_diff>},
    command{"apply", "apply DIR",
            "Applies a folder of declarations on all nodes.",
            &run_with_error_handling<run_apply>},
    command{"settle", "settle --member NAME --apply-id ID",
            "Shows the result of an apply whose response was lost.",
            &run_with_error_handling<run_settle>},
    command{"status", "status",
            "Shows all nodes and the generations in force on them.",
            &run_with_error_handling<run_status>},
    command{"drain", "drain [--undo]", "Drains the upstream beside the node.",
            &run_with_error_handling<run_drain>},
    command{"report", "report [burn] --member NAME",
            "Shows the member's request counts, or its error budget burn.",
            &run_with_error_handling<run_report>},
    command{"explain", "explain TRACE_ID",
            "Shows the decisions on a recent request along its call chain.",
            &run_with_error_handling<run_explain>},
    command{"trace", "trace REQUEST_ID --logs FILE...",
            "Prints the log lines of a request and its calls from log files.",
            &run_trace},
    command{"new-key", "new-key NAME --key-file NEW_FILE",
            "Generates an operator key and prints the hash to declare.",
            &run_with_error_handling<run_new_key>},
};

} // namespace

std::span<command const> all_commands()
{
    return commands;
}

command const* find_command(std::string_view name)
{
    for (auto const& item : commands)
    {
        if (item.name == name)
            return &item;
    }
    return nullptr;
}

} // namespace pollenhall
