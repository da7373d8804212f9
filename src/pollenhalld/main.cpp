// The daemon: reads its settings, starts the threads, waits for a signal and
// stops without cutting off a call.

#include "caller_server.hpp"
#include "control_plane.hpp"
#include "operator_server.hpp"
#include "traffic_plane.hpp"

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/process_limits.hpp>
#include <pollenhall/version.hpp>

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

namespace
{

using namespace pollenhall;

constexpr int exit_done = 0;
constexpr int exit_findings = 1;
constexpr int exit_usage = 2;
constexpr int exit_failed = 4;

/// What the command line asks for.
struct daemon_arguments
{
    std::string settings_path;
    bool check_only = false;
};

// Returns the exit code if there is nothing to run.
std::optional<int> parse_arguments(int count, char** values,
                                   daemon_arguments& arguments)
{
    namespace po = boost::program_options;
    po::options_description options("Options");
    auto add = options.add_options();
    add("settings,s", po::value(&arguments.settings_path),
        "INI file with the settings of this node");
    add("check", po::bool_switch(&arguments.check_only),
        "check settings and charts, then exit");
    add("help,h", "show this help");
    add("version", "show the version");
    try
    {
        po::variables_map seen;
        po::store(po::parse_command_line(count, values, options), seen);
        po::notify(seen);
        if (seen.count("help") > 0)
        {
            std::cout << "Usage: pollenhalld --settings FILE\n"
                         "Runs the node beside an upstream.\n\n"
                      << options
                      << "\nExit codes: 0 stopped as asked, 1 findings in "
                         "the settings,\n2 wrong usage, 4 a port or enough "
                         "open files "
                         "cannot be had.\n";
            return exit_done;
        }
        if (seen.count("version") > 0)
        {
            std::cout << "pollenhalld " << program_version << "\n";
            return exit_done;
        }
    }
    catch (po::error const& error)
    {
        std::cerr << "pollenhalld: " << error.what()
                  << "; see pollenhalld --help\n";
        return exit_usage;
    }
    if (arguments.settings_path.empty())
    {
        std::cerr << "pollenhalld: --settings is missing; see pollenhalld "
                     "--help\n";
        return exit_usage;
    }
    return std::nullopt;
}

bool report(finding_list& findings)
{
    findings.sort();
    for (auto const& item : findings.items())
        std::cerr << to_string(item) << "\n";
    return !findings.empty();
}

// Blocks the signals in all threads that are started later.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// One daemon: its threads in the order in which they depend on each other.
class daemon_process
{
public:
    daemon_process(node_settings const& settings, node_charts const& charts)
        : settings_(settings), charts_(charts),
          boot_(wall_now().time_since_epoch().count()),
          control_(settings, charts, view_, boot_),
          traffic_(settings, view_, boot_, events()),
          callers_(settings, traffic_, control_, view_),
          operators_(settings, charts, control_, view_)
    {
        control_.set_traffic(traffic_);
    }

    absl::Status start()
    {
        if (auto status = traffic_.start(); !status.ok())
            return status;
        if (auto status = control_.start(); !status.ok())
            return status;
        if (auto status = operators_.start(); !status.ok())
            return status;
        return callers_.start();
    }

    /// Follows the chart of planned stops from state to state.
    void stop()
    {
        stop_state_ = charts_.node_stop.initial();
        advance("stop-requested");
        control_.announce_stop();
        advance("refused");
        advance(wait_until_idle() ? "idle" : "grace-expired");
        control_.announce_departure();
        advance("said-goodbye");
        callers_.stop();
        operators_.stop();
        traffic_.stop();
        control_.stop();
    }

private:
    traffic_events events()
    {
        return {.on_control_frame = [this](link_id link, wire::frame frame)
                { control_.on_control_frame(link, std::move(frame)); },
                .on_suspicions = [this](std::vector<crash_suspicion> suspicions)
                { control_.share_suspicions(std::move(suspicions)); },
                .on_upstream_unreachable = [this]
                { control_.report_unreachable(); },
                .on_roster_status = [this](std::vector<roster_status> statuses)
                { control_.on_roster_status(std::move(statuses)); }};
    }

    void advance(std::string_view event)
    {
        auto const next = charts_.node_stop.next(stop_state_, event);
        if (next)
            stop_state_ = *next;
        log_event("node_stop")
            .add("node", settings_.name.value())
            .add("trigger", event)
            .add("state", charts_.node_stop.name(stop_state_));
    }

    // Callers hear within a moment that this node leaves; calls they sent
    // before that are still on their way, so an early lull is not trusted.
    bool wait_until_idle()
    {
        constexpr milliseconds poll{20};
        constexpr milliseconds quiet_needed{300};
        auto const start = mono_now();
        auto last_busy = start;
        while (mono_now() < start + settings_.stop_grace)
        {
            auto const now = mono_now();
            if (!traffic_.is_idle() || callers_.open_requests() > 0)
                last_busy = now;
            if (now >= last_busy + quiet_needed)
                return true;
            std::this_thread::sleep_for(poll);
        }
        return false;
    }

    node_settings const& settings_;
    node_charts const& charts_;
    view_holder view_;
    boot_id boot_;
    control_plane control_;
    traffic_plane traffic_;
    caller_server callers_;
    operator_server operators_;
    state_code stop_state_;
};

// Files that the daemon opens besides callers and the upstream: connections
// with peers, logs, and what libraries need.
constexpr std::uint64_t other_open_files = 2'048;

int run(node_settings const& settings, node_charts const& charts)
{
    auto const signals = block_stop_signals();
    auto const limits = reserve_open_files(
        static_cast<std::uint64_t>(settings.caller_connections) +
        static_cast<std::uint64_t>(settings.upstream_connections) +
        other_open_files);
    if (!limits.ok())
    {
        log_event("start_failed", log_level::error)
            .add("reason", std::string(limits.message()));
        return exit_failed;
    }
    daemon_process daemon(settings, charts);
    if (auto const status = daemon.start(); !status.ok())
    {
        log_event("start_failed", log_level::error)
            .add("reason", std::string(status.message()));
        return exit_failed;
    }
    log_event("node_started")
        .add("node", settings.name.value())
        .add("zone", settings.zone.value())
        .add("version", program_version);
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.stop();
    log_event("node_stopped").add("node", settings.name.value());
    return exit_done;
}

} // namespace

int main(int count, char** values)
{
    daemon_arguments arguments;
    if (auto const code = parse_arguments(count, values, arguments))
        return *code;
    finding_list findings;
    node_settings settings;
    node_charts charts;
    auto const text = read_file(arguments.settings_path);
    if (text.ok())
    {
        settings = parse_settings(arguments.settings_path, *text, findings);
        charts = load_charts(settings.charts, findings);
    }
    else
        findings.add(arguments.settings_path, 0,
                     std::string(text.status().message()));
    if (report(findings))
        return exit_findings;
    if (arguments.check_only)
        return exit_done;
    start_logging("pollenhalld");
    return run(settings, charts);
}
