// The commands of the command-line tool. Each takes the parsed arguments,
// prints its result, and returns an exit code.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Exit codes of the tool.
namespace exit_code
{
inline constexpr int done = 0;
inline constexpr int findings = 1;
inline constexpr int usage = 2;
inline constexpr int conflict = 3;
inline constexpr int unreachable = 4;
} // namespace exit_code

/// What the command line gave.
struct command_arguments
{
    std::string positional;
    std::string node;
    std::string format;
    std::int64_t base = -1;
    std::string apply_id;
    std::string actor;
    std::string member;
    std::string key_file;
    std::vector<std::string> logs;
    bool undo = false;

    [[nodiscard]] bool wants_json() const { return format == "json"; }
};

/// One command.
struct command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    int (*run)(command_arguments const& arguments);
};

/// All commands in the order of the help.
std::span<command const> all_commands();
/// Null if there is none of that name.
command const* find_command(std::string_view name);

} // namespace pollenhall
