// The commands of pollenctl. Each takes the parsed arguments, prints its result
// and returns an exit code.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Exit codes of pollenctl.
namespace exit_code
{
inline constexpr int done = 0;
inline constexpr int findings = 1;
inline constexpr int usage = 2;
inline constexpr int conflict = 3;
inline constexpr int unreachable = 4;
} // namespace exit_code

/// Arguments and options of the command line.
struct command_arguments
{
    /// The argument that follows the command; empty if there is none.
    std::string positional;
    /// Operator port of a node, IP:PORT.
    std::string node;
    std::string format;
    /// Generation that an apply is based on; -1 for the newest.
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

/// Returns all commands, in the order of the help text.
std::span<command const> all_commands();
/// Returns the command of that name; null if there is none.
command const* find_command(std::string_view name);

} // namespace pollenhall
