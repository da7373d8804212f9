// Implements `trace`: reads log files and prints the log lines of one request
// and the cause of its failure.

#include "log_command.hpp"

#include <pollenhall/request_log.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

/// Appends the lines of a file to `lines`; returns false if it cannot be read.
bool read_log(std::string const& path, std::vector<log_line>& lines)
{
    std::ifstream file(path);
    if (!file)
        return false;
    auto const source = std::filesystem::path(path).filename().string();
    std::string text;
    while (std::getline(file, text))
        lines.push_back(parse_log_line(source, text));
    return true;
}

void print_json(request_log const& log)
{
    auto lines = nlohmann::json::array();
    for (auto const& line : log.lines)
        lines.push_back({{"source", line.source}, {"fields", line.fields}});
    std::cout << nlohmann::json{{"lines", lines},
                                {"failed_call", log.failed_call},
                                {"reason", log.reason}}
                     .dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
}

void print_text(request_log const& log)
{
    for (auto const& line : log.lines)
        std::cout << line.source << "  " << line.text << "\n";
    if (!log.failed_call.empty())
        std::cout << "the failure began at call " << log.failed_call << ": "
                  << log.reason << "\n";
}

} // namespace

int run_trace(command_arguments const& arguments)
{
    if (arguments.positional.empty() || arguments.logs.empty())
    {
        std::cerr << "pollenctl: trace needs a request id and --logs with "
                     "the log files of the nodes\n";
        return exit_code::usage;
    }
    std::vector<log_line> lines;
    for (auto const& path : arguments.logs)
        if (!read_log(path, lines))
        {
            std::cerr << path << ": file cannot be read\n";
            return exit_code::usage;
        }
    auto const log = collect_request_log(lines, arguments.positional);
    if (arguments.wants_json())
        print_json(log);
    else
        print_text(log);
    if (!log.lines.empty())
        return exit_code::done;
    std::cerr << "pollenctl: no log line found for request "
              << arguments.positional
              << "; answered requests are logged at most 50 times per second\n";
    return exit_code::findings;
}

} // namespace pollenhall
