// Reads log files and prints the walk from a request's id to its cause.

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

/// Appends the lines of a file; false if it can't be read.
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

void print_json(request_log const& walk)
{
    auto lines = nlohmann::json::array();
    for (auto const& line : walk.lines)
        lines.push_back({{"source", line.source}, {"fields", line.fields}});
    std::cout << nlohmann::json{{"lines", lines},
                                {"failed_call", walk.failed_call},
                                {"reason", walk.reason}}
                     .dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
}

void print_text(request_log const& walk)
{
    for (auto const& line : walk.lines)
        std::cout << line.source << "  " << line.text << "\n";
    if (!walk.failed_call.empty())
        std::cout << "the failure began at call " << walk.failed_call << ": "
                  << walk.reason << "\n";
}

} // namespace

int run_trace(command_arguments const& arguments)
{
    if (arguments.positional.empty() || arguments.logs.empty())
    {
        std::cerr << "pollenctl: trace needs a request's id and --logs with "
                     "the log files of the nodes\n";
        return exit_code::usage;
    }
    std::vector<log_line> lines;
    for (auto const& path : arguments.logs)
        if (!read_log(path, lines))
        {
            std::cerr << path << ": cannot be read\n";
            return exit_code::usage;
        }
    auto const walk = collect_request_log(lines, arguments.positional);
    if (arguments.wants_json())
        print_json(walk);
    else
        print_text(walk);
    if (!walk.lines.empty())
        return exit_code::done;
    std::cerr << "pollenctl: no line of these logs is about request "
              << arguments.positional
              << "; answered ones are logged at most 50 a second\n";
    return exit_code::findings;
}

} // namespace pollenhall
