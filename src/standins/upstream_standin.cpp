// Stand-in for an upstream: serves each request for a configured time, with a
// limited number of requests at once, calls other services through the node
// beside it, and records the requests that it ran. It registers with that node
// periodically; on SIGTERM it drains and deregisters.
//
// The first segment of the path is the kind. POST /standin/behaviour takes a
// JSON object with any of: service_ms, crash_on (the process crashes on a
// request whose body contains this text), claim_slots (number of slots that it
// registers). GET /standin/runs returns the runs by key and by trace id.

#include <pollenhall/hashing.hpp>
#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/connection_queue.hpp>
#include <pollenhall/io/http_passthrough.hpp>
#include <pollenhall/io/http_server.hpp>
#include <pollenhall/io/process_limits.hpp>

#include <boost/program_options.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace
{

using nlohmann::json;
using namespace pollenhall;

constexpr milliseconds registration_interval{500};
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;

struct standin_options
{
    std::string address;
    int port = 0;
    std::string node_address;
    int node_port = 0;
    std::string service;
    int slots = 16;
    int max_waiting = 64;
    double service_ms = 5;
    /// Nested calls of each kind: `order=stock/reserve,printshop/card`.
    std::vector<std::string> calls;
};

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

// Derives the idempotency key of a nested call from the parent's key: the same
// issue time, and a hash of the parent's key and the target. A repeated parent
// request thus makes the same keys.
std::string derive_key(std::string const& parent, std::string const& target)
{
    auto const key = idempotency_key::parse(parent);
    if (!key)
        return {};
    auto const bits = hash_text(key->text() + target);
    std::ostringstream out;
    out << key->text().substr(0, 15) << std::hex << std::setfill('0')
        << std::setw(3) << (bits & 0xFFFU) << "-8" << std::setw(3)
        << (bits >> 12U & 0xFFFU) << "-" << std::setw(12)
        << (bits >> 24U & 0xFFFFFFFFFFU);
    return out.str();
}

/// Limits the number of requests at once; further ones wait for a free slot.
class slot_pool
{
public:
    slot_pool(int slots, int max_waiting)
        : free_(slots), max_waiting_(max_waiting)
    {
    }

    /// Returns false if `max_waiting` requests wait already, or if no slot
    /// becomes free within `timeout`.
    bool acquire(milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        if (free_ == 0 && waiting_ >= max_waiting_)
            return false;
        ++waiting_;
        bool const acquired =
            freed_.wait_for(lock, timeout, [this] { return free_ > 0; });
        --waiting_;
        free_ -= acquired ? 1 : 0;
        return acquired;
    }

    void release()
    {
        {
            std::lock_guard const lock(mutex_);
            ++free_;
        }
        freed_.notify_one();
    }

private:
    std::mutex mutex_;
    std::condition_variable freed_;
    int free_;
    int waiting_ = 0;
    int max_waiting_;
};

/// HTTP server of the upstream, and its registration with the node.
class upstream_standin
{
public:
    explicit upstream_standin(standin_options options)
        : options_(std::move(options)),
          slots_(options_.slots, options_.max_waiting),
          service_ms_(options_.service_ms), registered_slots_(options_.slots)
    {
        for (auto const& item : options_.calls)
        {
            auto const equals = item.find('=');
            nested_calls_[item.substr(0, equals)] =
                split(item.substr(equals + 1), ',');
        }
        server_.new_task_queue = [] { return new connection_queue(1'024); };
        add_routes();
    }

    bool run()
    {
        registration_thread_ = std::thread([this] { registration_loop(); });
        bool const listened =
            server_.bind(options_.address, options_.port) >= 0 &&
            server_.listen_after_bind();
        stopping_ = true;
        registration_thread_.join();
        return listened;
    }

    void stop()
    {
        stopping_ = true;
        httplib::Client node(options_.node_address, options_.node_port);
        node.Post("/v1/upstream/drain");
        // Serves the calls that were sent before the other nodes knew of the
        // drain.
        std::this_thread::sleep_for(seconds{1});
        node.Delete("/v1/upstream");
        // Exits without joining the threads of idle connections.
        std::quick_exit(0);
    }

private:
    void add_routes()
    {
        // cpp-httplib tries handlers with a content reader first, so the
        // pattern has to exclude the paths below /standin/.
        constexpr char const* any_kind = "/(?!standin/).+";
        server_.Get(
            "/standin/runs", [this](auto const&, auto& reply)
            { reply.set_content(runs_json().dump(), "application/json"); });
        server_.Post("/standin/behaviour",
                     [this](auto const& request, auto& reply)
                     {
                         change_behaviour(json::parse(request.body));
                         reply.set_content("{}", "application/json");
                     });
        server_.set_pre_routing_handler(
            [](auto const& request, auto&)
            {
                // The const_cast is valid: the server's own request object is
                // not const.
                hide_headers(const_cast<httplib::Request&>(request));
                return httplib::Server::HandlerResponse::Unhandled;
            });
        auto const handler =
            [this](auto const& request, auto& reply, auto const& reader)
        { serve(request, read_body(reader), reply); };
        server_.Get(any_kind, [this](auto const& request, auto& reply)
                    { serve(request, {}, reply); });
        server_.Post(any_kind, handler);
        server_.Put(any_kind, handler);
        server_.Patch(any_kind, handler);
        server_.Delete(any_kind, handler);
    }

    void change_behaviour(json const& changes)
    {
        std::lock_guard const lock(mutex_);
        service_ms_ = changes.value("service_ms", service_ms_.load());
        registered_slots_ =
            changes.value("claim_slots", registered_slots_.load());
        crash_on_ = changes.value("crash_on", crash_on_);
    }

    json runs_json()
    {
        std::lock_guard const lock(mutex_);
        std::int64_t duplicates = 0;
        json keys = json::object();
        for (auto const& [key, runs] : runs_by_key_)
        {
            duplicates += runs > 1 ? 1 : 0;
            keys[key] = runs;
        }
        return {{"runs", runs_},
                {"duplicates", duplicates},
                {"keys", keys},
                {"runs_by_trace", runs_by_trace_}};
    }

    void record_run(httplib::Request const& request)
    {
        std::lock_guard const lock(mutex_);
        ++runs_;
        auto const key = request.get_header_value("Idempotency-Key");
        if (!key.empty())
            ++runs_by_key_[key];
        auto const trace = request.get_header_value("traceparent");
        // The trace id follows the version in `traceparent`: 00-TRACE_ID-...
        constexpr std::size_t trace_id_offset = 3;
        constexpr std::size_t trace_id_length = 32;
        if (trace.size() > trace_id_offset + trace_id_length)
            ++runs_by_trace_[trace.substr(trace_id_offset, trace_id_length)];
    }

    bool triggers_crash(std::string const& body)
    {
        std::lock_guard const lock(mutex_);
        return !crash_on_.empty() && body.find(crash_on_) != std::string::npos;
    }

    static milliseconds time_left(httplib::Request const& request)
    {
        auto const text = request.get_header_value("Pollenhall-Timeout-Ms");
        return milliseconds(text.empty() ? 10'000 : std::stoll(text));
    }

    static void reject(httplib::Response& reply)
    {
        reply.status = service_unavailable;
        reply.set_header("Pollenhall-Outcome", "not_run");
        reply.set_header("Retry-After", "1");
    }

    void serve(httplib::Request const& request, std::string const& body,
               httplib::Response& reply)
    {
        auto const started = mono_now();
        auto const timeout = time_left(request);
        if (!slots_.acquire(timeout))
        {
            reject(reply);
            return;
        }
        // The deadline may have passed while the request waited for a slot.
        if (mono_now() >= started + timeout)
        {
            slots_.release();
            reject(reply);
            return;
        }
        record_run(request);
        if (triggers_crash(body))
            _exit(1);
        std::this_thread::sleep_for(microseconds(
            static_cast<std::int64_t>(service_ms_.load() * 1'000)));
        bool const called = send_nested_calls(request, body);
        slots_.release();
        reply.status = called ? 200 : bad_gateway;
        reply.set_header("X-Upstream", options_.service);
        reply.set_content(body, "application/octet-stream");
    }

    bool send_nested_calls(httplib::Request const& request,
                           std::string const& body)
    {
        auto const kind = split(request.path.substr(1), '/').front();
        auto const found = nested_calls_.find(kind);
        if (found == nested_calls_.end())
            return true;
        for (auto const& target : found->second)
        {
            if (!send_nested_call(request, body, target))
                return false;
        }
        return true;
    }

    bool send_nested_call(httplib::Request const& request,
                          std::string const& body, std::string const& target)
    {
        thread_local std::unique_ptr<httplib::Client> client;
        if (!client)
        {
            client = std::make_unique<httplib::Client>(options_.node_address,
                                                       options_.node_port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_read_timeout(seconds{60});
        }
        httplib::Headers headers;
        for (auto const* name : {"traceparent", "tracestate"})
        {
            auto const value = request.get_header_value(name);
            if (!value.empty())
                headers.emplace(name, value);
        }
        auto const key = request.get_header_value("Idempotency-Key");
        if (!key.empty())
            headers.emplace("Idempotency-Key", derive_key(key, target));
        auto const result = client->Post(("/call/" + target), headers, body,
                                         "application/octet-stream");
        return result && result->status == 200 && result->body == body;
    }

    void registration_loop()
    {
        auto const incarnation =
            std::to_string(wall_now().time_since_epoch().count());
        httplib::Client node(options_.node_address, options_.node_port);
        node.set_keep_alive(true);
        while (!stopping_)
        {
            json const body{{"service", options_.service},
                            {"port", options_.port},
                            {"slots", registered_slots_.load()},
                            {"incarnation", incarnation}};
            node.Put("/v1/upstream", body.dump(), "application/json");
            std::this_thread::sleep_for(registration_interval);
        }
    }

    standin_options options_;
    slot_pool slots_;
    std::map<std::string, std::vector<std::string>> nested_calls_;
    std::atomic<double> service_ms_;
    std::atomic<int> registered_slots_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::string crash_on_;
    std::int64_t runs_ = 0;
    std::map<std::string, int> runs_by_key_;
    std::map<std::string, int> runs_by_trace_;
    http_server server_;
    std::thread registration_thread_;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    standin_options settings;
    po::options_description options("Options");
    auto add = options.add_options();
    add("address", po::value(&settings.address)->default_value("127.0.0.1"));
    add("port", po::value(&settings.port)->required());
    add("node-address",
        po::value(&settings.node_address)->default_value("127.0.0.1"));
    add("node-port", po::value(&settings.node_port)->required());
    add("service", po::value(&settings.service)->required());
    add("slots", po::value(&settings.slots));
    add("max-waiting", po::value(&settings.max_waiting));
    add("service-ms", po::value(&settings.service_ms));
    add("calls", po::value(&settings.calls)->multitoken(),
        "KIND=SERVICE/KIND,...");
    po::variables_map variables;
    po::store(po::parse_command_line(argc, argv, options), variables);
    po::notify(variables);
    std::signal(SIGPIPE, SIG_IGN);
    constexpr std::uint64_t needed_open_files = 4'096;
    if (auto const limits = raise_open_file_limit(needed_open_files);
        !limits.ok())
        std::cerr << limits.message() << "\n";
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    upstream_standin upstream(std::move(settings));
    std::thread signal_thread(
        [&]
        {
            int signal = 0;
            sigwait(&signals, &signal);
            upstream.stop();
        });
    bool const listened = upstream.run();
    std::quick_exit(listened ? 0 : 1);
}
