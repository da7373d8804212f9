// Entry point of pollenctl: parses the command line and runs one command.

#include "commands.hpp"

#include <pollenhall/version.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace
{

using namespace pollenhall;
namespace po = boost::program_options;

void print_help()
{
    std::cout << "Usage: pollenctl COMMAND [ARGUMENT] [OPTION...]\n"
                 "Checks and applies declarations, and shows the state of the "
                 "platform.\n\nCommands:\n";
    for (auto const& command : all_commands())
        std::cout << "  " << command.usage << "\n      " << command.summary
                  << "\n";
    std::cout << "\nExit codes: 0 done, 1 findings, 2 wrong usage, 3 conflict,"
                 " 4 node unreachable\nor result not known.\n"
                 "See pollenctl COMMAND --help for a command's options.\n";
}

po::options_description make_options(command_arguments& arguments)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("node,n", po::value(&arguments.node)->default_value("127.0.0.1:7003"),
        "operator port of any node, IP:PORT");
    add("format,f", po::value(&arguments.format)->default_value("text"),
        "text or json; html for report burn");
    add("base", po::value(&arguments.base)->default_value(-1),
        "apply: generation that the change is based on; -1 for the newest");
    add("apply-id", po::value(&arguments.apply_id),
        "apply: id of this apply (generated if absent); settle: id to query");
    add("actor", po::value(&arguments.actor)->default_value("pollenctl"),
        "apply: who applies; recorded with the change");
    add("member,m", po::value(&arguments.member),
        "report, settle: name of the member");
    add("key-file,k", po::value(&arguments.key_file),
        "file with the operator's name and key; not needed by check");
    add("logs", po::value(&arguments.logs)->multitoken(),
        "trace: log files of nodes");
    add("undo", po::bool_switch(&arguments.undo),
        "drain: let the upstream accept work again");
    add("help,h", "show this help");
    return options;
}

int run(int argc, char** argv)
{
    std::string const name = argc > 1 ? argv[1] : "";
    if (name == "--version")
    {
        std::cout << "pollenctl " << program_version << "\n";
        return exit_code::done;
    }
    if (name.empty() || name == "--help" || name == "-h")
    {
        print_help();
        return name.empty() ? exit_code::usage : exit_code::done;
    }
    auto const* const command = find_command(name);
    if (command == nullptr)
    {
        std::cerr << "pollenctl: unknown command '" << name
                  << "'; see pollenctl --help\n";
        return exit_code::usage;
    }
    command_arguments arguments;
    auto options = make_options(arguments);
    po::options_description all;
    all.add(options).add_options()("argument",
                                   po::value(&arguments.positional));
    po::positional_options_description positional;
    positional.add("argument", 1);
    po::variables_map variables;
    po::store(po::command_line_parser(argc - 1, argv + 1)
                  .options(all)
                  .positional(positional)
                  .run(),
              variables);
    if (variables.count("help") > 0)
    {
        std::cout << "Usage: pollenctl " << command->usage << "\n"
                  << command->summary << "\n\n"
                  << options;
        return exit_code::done;
    }
    po::notify(variables);
    bool const is_valid_format =
        arguments.format == "text" || arguments.format == "json" ||
        (arguments.format == "html" && name == "report");
    if (!is_valid_format)
    {
        std::cerr << "pollenctl: --format is '" << arguments.format
                  << "'; expected text or json, or html for report burn\n";
        return exit_code::usage;
    }
    return command->run(arguments);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (po::error const& error)
    {
        std::cerr << "pollenctl: " << error.what()
                  << "; see pollenctl --help\n";
        return exit_code::usage;
    }
    catch (std::exception const& error)
    {
        std::cerr << "pollenctl: " << error.what() << "\n";
        return exit_code::unreachable;
    }
}
