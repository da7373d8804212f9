// The daemon: reads its settings, starts the threads, waits for a signal, and
// stops when the calls in progress have ended or the grace time has expired.

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

/// Parsed command line.
struct daemon_arguments
{
    std::string settings_path;
    bool check_only = false;
};

// Returns an exit code if the process is to exit at once.
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
        po::variables_map parsed;
        po::store(po::parse_command_line(count, values, options), parsed);
        po::notify(parsed);
        if (parsed.count("help") > 0)
        {
            std::cout << "Usage: pollenhalld --settings FILE\n"
                         "Runs a node beside an upstream.\n\n"
                      << options
                      << "\nExit codes: 0 stopped by a signal, 1 errors in the "
                         "settings or charts,\n2 invalid command line, 4 "
                         "cannot bind a port or raise the limit of open "
                         "files.\n";
            return exit_done;
        }
        if (parsed.count("version") > 0)
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

// Prints the findings on standard error. Returns whether there are any.
bool print_findings(finding_list& findings)
{
    findings.sort();
    for (auto const& item : findings.items())
        std::cerr << to_string(item) << "\n";
    return !findings.empty();
}

// Blocks the signals that stop the process, in this thread and in those that it
// starts later.
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

/// The threads of the daemon, in the order in which they depend on each other.
class daemon_process
{
public:
    daemon_process(node_settings const& settings, node_charts const& charts)
        : settings_(settings), charts_(charts),
          boot_(wall_now().time_since_epoch().count()),
          control_(settings, charts, view_, boot_),
          traffic_(settings, view_, boot_, events()),
          caller_server_(settings, traffic_, control_, view_),
          operator_server_(settings, charts, control_, view_)
    {
        control_.set_traffic(traffic_);
    }

    absl::Status start()
    {
        if (auto status = traffic_.start(); !status.ok())
            return status;
        if (auto status = control_.start(); !status.ok())
            return status;
        if (auto status = operator_server_.start(); !status.ok())
            return status;
        return caller_server_.start();
    }

    /// Stops as described in `charts/node_stop.ini`.
    void stop()
    {
        stop_state_ = charts_.node_stop.initial();
        fire_stop_event("stop-requested");
        control_.announce_stop();
        fire_stop_event("refused");
        fire_stop_event(wait_until_idle() ? "idle" : "grace-expired");
        control_.announce_departure();
        fire_stop_event("said-goodbye");
        caller_server_.stop();
        operator_server_.stop();
        traffic_.stop();
        control_.stop();
    }

private:
    traffic_plane_callbacks events()
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

    void fire_stop_event(std::string_view event)
    {
        auto const next = charts_.node_stop.next(stop_state_, event);
        if (next)
            stop_state_ = *next;
        log_event("node_stop")
            .add("node", settings_.name.value())
            .add("trigger", event)
            .add("state", charts_.node_stop.name(stop_state_));
    }

    // Waits until the node has been idle for `min_idle_time`. Returns false if
    // the grace time expires first. Callers learn with a delay that this node
    // stops, so calls that they sent before may still arrive after a short idle
    // time.
    bool wait_until_idle()
    {
        constexpr milliseconds poll_interval{20};
        constexpr milliseconds min_idle_time{300};
        auto const start = mono_now();
        auto last_busy = start;
        while (mono_now() < start + settings_.stop_grace)
        {
            auto const now = mono_now();
            if (!traffic_.is_idle() || caller_server_.open_requests() > 0)
                last_busy = now;
            if (now >= last_busy + min_idle_time)
                return true;
            std::this_thread::sleep_for(poll_interval);
        }
        return false;
    }

    node_settings const& settings_;
    node_charts const& charts_;
    view_holder view_;
    boot_id boot_;
    control_plane control_;
    traffic_plane traffic_;
    caller_server caller_server_;
    operator_server operator_server_;
    state_code stop_state_;
};

// Number of files that the daemon opens besides connections to callers and the
// upstream: connections to peers, logs, and files opened by libraries.
constexpr std::uint64_t other_open_files = 2'048;

int run(node_settings const& settings, node_charts const& charts)
{
    auto const signals = block_stop_signals();
    auto const limits = raise_open_file_limit(
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
    if (print_findings(findings))
        return exit_findings;
    if (arguments.check_only)
        return exit_done;
    start_logging("pollenhalld");
    return run(settings, charts);
}
