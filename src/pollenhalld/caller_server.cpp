// Implements the HTTP server for callers with cpp-httplib.

#include "caller_server.hpp"

#include "metrics.hpp"

#include <pollenhall/io/connection_queue.hpp>
#include <pollenhall/io/http_names.hpp>
#include <pollenhall/io/http_passthrough.hpp>
#include <pollenhall/io/http_server.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <future>
#include <thread>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int bad_request = 400;
constexpr int conflict = 409;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int too_many_requests = 429;
// Interval at which a pending request is checked for a caller that has
// disconnected.
constexpr milliseconds caller_check_interval{50};
constexpr std::string_view problem_type = "application/problem+json";
constexpr milliseconds max_caller_timeout = std::chrono::minutes{10};

// Whether `open_requests_` includes the request that this thread serves.
thread_local bool is_counted_open = false;

std::vector<http_header> forwarded_headers(httplib::Request const& request)
{
    // cpp-httplib adds these to the headers of each request.
    constexpr std::array<std::string_view, 4> added_by_library{
        "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT"};
    // The node sets these anew for the upstream.
    constexpr std::array<std::string_view, 4> replaced{
        http_names::traceparent, http_names::tracestate, http_names::timeout,
        http_names::idempotency_key};
    std::vector<http_header> headers;
    for (auto const& [name, value] : request.headers)
    {
        bool const skipped =
            is_hop_by_hop(name) ||
            std::find(added_by_library.begin(), added_by_library.end(), name) !=
                added_by_library.end() ||
            std::any_of(replaced.begin(), replaced.end(),
                        [&name = name](std::string_view item)
                        { return http_names::are_equal(name, item); });
        if (skipped)
            continue;
        headers.push_back(
            {.name = std::string(original_name(name)), .value = value});
    }
    return headers;
}

void set_problem(httplib::Response& response, int status,
                 std::string_view title, std::string_view detail)
{
    response.status = status;
    response.set_content(json{{"type", "about:blank"},
                              {"title", title},
                              {"status", status},
                              {"detail", detail}}
                             .dump(),
                         std::string(problem_type));
}

void set_outcome(httplib::Response& response, outcome what)
{
    response.set_header(std::string(http_names::outcome),
                        std::string(to_string(what)));
}

// Parses `/call/SERVICE/KIND/rest?query`. Returns false if the service or the
// kind is missing.
bool parse_call_target(std::string_view target, caller_request& request)
{
    target.remove_prefix(http_names::call_path.size());
    auto const path_end = target.find('?');
    auto const path = target.substr(0, path_end);
    auto const slash = path.find('/');
    if (slash == std::string_view::npos)
        return false;
    auto const kind_end = path.find('/', slash + 1);
    auto const kind = path.substr(slash + 1, kind_end - slash - 1);
    if (slash == 0 || kind.empty())
        return false;
    request.kind = {.service = service_name(std::string(path.substr(0, slash))),
                    .kind = kind_name(std::string(kind))};
    request.target = target.substr(slash + 1 + kind.size());
    return true;
}

// Reads the headers of a call into `request`. Returns the error text, empty if
// the headers are valid.
std::string read_call_headers(httplib::Request const& source,
                              caller_request& request)
{
    auto const header = [&](std::string_view name)
    { return source.get_header_value(std::string(name)); };
    auto const key = header(http_names::idempotency_key);
    if (!key.empty())
    {
        request.key = idempotency_key::parse(key);
        if (!request.key)
            return "Idempotency-Key is no UUID of version 7 (RFC 9562)";
    }
    auto const timeout = header(http_names::timeout);
    if (!timeout.empty())
    {
        std::int64_t value = 0;
        auto const* const end = timeout.data() + timeout.size();
        auto const result = std::from_chars(timeout.data(), end, value);
        if (result.ec != std::errc{} || result.ptr != end || value < 1 ||
            value > max_caller_timeout.count())
            return "Pollenhall-Timeout-Ms is no number from 1 to 600000";
        request.timeout = milliseconds(value);
    }
    auto const traceparent = header(http_names::traceparent);
    if (!traceparent.empty())
        request.trace =
            parse_trace_context(traceparent, header(http_names::tracestate));
    return {};
}

int error_status_of(call_result const& result)
{
    if (result.what == outcome::unknown)
        return gateway_timeout;
    if (!result.reason)
        return service_unavailable;
    switch (*result.reason)
    {
    case refusal::key_refused:
        return conflict;
    case refusal::shed:
    case refusal::queue_timeout:
    case refusal::retries_exhausted:
        return too_many_requests;
    default:
        return service_unavailable;
    }
}

std::string describe_error(call_result const& result)
{
    if (result.what == outcome::unknown)
        return "the call may have run, but its answer did not arrive in time";
    std::string text = "the call did not run";
    if (result.reason)
        text += ": " + std::string(to_string(*result.reason));
    return text;
}

} // namespace

class caller_server::implementation
{
public:
    implementation(node_settings const& settings, traffic_plane& traffic,
                   control_plane& control, view_holder const& view)
        : settings_(settings), traffic_(traffic), control_(control), view_(view)
    {
        server_.new_task_queue = [&settings]
        {
            return new connection_queue(
                static_cast<std::size_t>(settings.caller_connections));
        };
        server_.set_payload_max_length(
            static_cast<std::size_t>(settings.max_body_bytes));
        add_routes();
    }

    ~implementation();

    absl::Status start();
    void stop();
    [[nodiscard]] int open_requests() const { return open_requests_; }

private:
    void add_routes();
    httplib::Server::HandlerResponse before_routing(httplib::Request& request,
                                                    httplib::Response& reply);
    void handle_call(httplib::Request const& source, std::string body,
                     httplib::Response& reply);
    void handle_call_with_body(httplib::Request const& source,
                               httplib::Response& reply,
                               httplib::ContentReader const& reader);
    void handle_announcement(httplib::Request const& source,
                             httplib::Response& reply);
    void write_answer(caller_answer&& answer, httplib::Response& reply);
    void write_error(call_result const& result, httplib::Response& reply);
    void handle_upstream_event(char const* event, httplib::Response& reply);

    node_settings const& settings_;
    traffic_plane& traffic_;
    control_plane& control_;
    view_holder const& view_;
    http_server server_;
    std::thread thread_;
    std::atomic<int> open_requests_{0};
};

httplib::Server::HandlerResponse
caller_server::implementation::before_routing(httplib::Request& request,
                                              httplib::Response& reply)
{
    ++open_requests_;
    is_counted_open = true;
    // cpp-httplib closes the connection after the answer if the request has the
    // header `Connection: close`. While the node is stopping, each request gets
    // it.
    if (!view_.get()->accepts_work)
        request.headers.emplace("Connection", "close");
    if (connection_queue::is_over_limit())
    {
        set_problem(reply, service_unavailable, "Too many connections",
                    "this node serves up to " +
                        std::to_string(settings_.caller_connections) +
                        " connections");
        set_outcome(reply, outcome::not_run);
        reply.set_header("Retry-After", "1");
        reply.set_header("Connection", "close");
        return httplib::Server::HandlerResponse::Handled;
    }
    if (request.path.starts_with(http_names::call_path))
        hide_headers(request);
    return httplib::Server::HandlerResponse::Unhandled;
}

void caller_server::implementation::add_routes()
{
    // Called when an answer has been written.
    server_.set_logger(
        [this](httplib::Request const&, httplib::Response const&)
        { open_requests_ -= std::exchange(is_counted_open, false) ? 1 : 0; });
    server_.set_pre_routing_handler(
        [this](httplib::Request const& request, httplib::Response& reply)
        {
            // The cast is safe: the server's request object is not const.
            return before_routing(const_cast<httplib::Request&>(request),
                                  reply);
        });
    auto const without_body =
        [this](httplib::Request const& request, httplib::Response& reply)
    { handle_call(request, {}, reply); };
    auto const with_body = [this](httplib::Request const& request,
                                  httplib::Response& reply,
                                  httplib::ContentReader const& reader)
    { handle_call_with_body(request, reply, reader); };
    constexpr char const* any_call = "/call/.*";
    server_.Get(any_call, without_body);
    server_.Options(any_call, without_body);
    server_.Post(any_call, with_body);
    server_.Put(any_call, with_body);
    server_.Patch(any_call, with_body);
    server_.Delete(any_call, with_body);
    std::string const upstream(http_names::upstream_path);
    server_.Put(upstream, [this](httplib::Request const& request,
                                 httplib::Response& reply)
                { handle_announcement(request, reply); });
    server_.Delete(upstream,
                   [this](httplib::Request const&, httplib::Response& reply)
                   { handle_upstream_event("withdrawn", reply); });
    server_.Post(upstream + "/drain",
                 [this](httplib::Request const&, httplib::Response& reply)
                 { handle_upstream_event("drain", reply); });
    server_.Get("/healthz",
                [](httplib::Request const&, httplib::Response& reply)
                { reply.set_content("live\n", "text/plain"); });
    server_.Get("/readyz",
                [this](httplib::Request const&, httplib::Response& reply)
                {
                    auto const view = view_.get();
                    bool const ready = view->ready && view->accepts_work;
                    reply.status = ready ? http_ok : service_unavailable;
                    reply.set_content(ready ? "ready\n" : "not ready\n",
                                      "text/plain");
                });
    server_.Get("/metrics",
                [this](httplib::Request const&, httplib::Response& reply)
                {
                    reply.set_content(format_metrics(traffic_, control_),
                                      "text/plain; version=0.0.4");
                });
}

void caller_server::implementation::handle_upstream_event(
    char const* event, httplib::Response& reply)
{
    if (control_.fire_upstream_event(event))
        reply.set_content(json{{"state", "accepted"}}.dump(),
                          "application/json");
    else
        set_problem(reply, conflict, "Not possible now",
                    "the upstream's state does not allow this");
}

void caller_server::implementation::handle_announcement(
    httplib::Request const& source, httplib::Response& reply)
{
    constexpr int max_port = 65'535;
    auto const body = json::parse(source.body, nullptr, false);
    announced_upstream upstream;
    try
    {
        upstream.service = service_name(body.at("service").get<std::string>());
        upstream.endpoint.address = settings_.address;
        upstream.endpoint.port = body.at("port").get<int>();
        upstream.slots = body.value("slots", 0);
        upstream.incarnation = body.at("incarnation").get<std::string>();
    }
    catch (json::exception const& error)
    {
        set_problem(reply, bad_request, "Malformed announcement", error.what());
        return;
    }
    bool const valid = upstream.endpoint.port > 0 &&
                       upstream.endpoint.port <= max_port &&
                       upstream.slots >= 0 && !upstream.service.value().empty();
    if (!valid)
    {
        set_problem(reply, bad_request, "Malformed announcement",
                    "port must be 1 to 65535, slots not negative, service "
                    "not empty");
        return;
    }
    control_.announce_upstream(std::move(upstream));
    reply.set_content(
        json{{"lease_ms", settings_.upstream_lease.count()}}.dump(),
        "application/json");
}

void caller_server::implementation::handle_call_with_body(
    httplib::Request const& source, httplib::Response& reply,
    httplib::ContentReader const& reader)
{
    auto body = read_body(reader);
    // cpp-httplib has already set an error status if it rejected the body.
    if (reply.status >= bad_request)
        return;
    handle_call(source, std::move(body), reply);
}

void caller_server::implementation::handle_call(httplib::Request const& source,
                                                std::string body,
                                                httplib::Response& reply)
{
    caller_request request;
    request.method = source.method;
    if (!parse_call_target(source.target, request))
    {
        set_problem(reply, bad_request, "Malformed path",
                    "the path is not /call/SERVICE/KIND");
        set_outcome(reply, outcome::not_run);
        return;
    }
    auto const error = read_call_headers(source, request);
    if (!error.empty())
    {
        set_problem(reply, bad_request, "Malformed header", error);
        set_outcome(reply, outcome::not_run);
        return;
    }
    request.headers = forwarded_headers(source);
    request.body = std::move(body);
    std::promise<caller_answer> promise;
    auto future = promise.get_future();
    auto const call =
        traffic_.serve(std::move(request), [&promise](caller_answer answer)
                       { promise.set_value(std::move(answer)); });
    while (future.wait_for(caller_check_interval) != std::future_status::ready)
    {
        if (!http_server::caller_disconnected())
            continue;
        traffic_.cancel(call);
        break;
    }
    write_answer(future.get(), reply);
}

void caller_server::implementation::write_answer(caller_answer&& answer,
                                                 httplib::Response& reply)
{
    auto& result = answer.result;
    if (!answer.trace_id.empty())
        reply.set_header("Pollenhall-Trace-Id", answer.trace_id);
    if (answer.request_error_status != 0)
    {
        set_problem(reply, answer.request_error_status, "Not acceptable",
                    answer.request_error);
        set_outcome(reply, outcome::not_run);
        return;
    }
    if (result.what != outcome::completed)
    {
        write_error(result, reply);
        return;
    }
    set_outcome(reply, outcome::completed);
    reply.status = result.status;
    for (auto const& header : result.headers)
        reply.headers.emplace(header.name, header.value);
    reply.body = std::move(result.body);
}

void caller_server::implementation::write_error(call_result const& result,
                                                httplib::Response& reply)
{
    set_problem(reply, error_status_of(result),
                std::string(to_string(result.what)), describe_error(result));
    set_outcome(reply, result.what);
    if (result.reason)
        reply.set_header(std::string(http_names::reason),
                         std::string(to_string(*result.reason)));
    auto const wait = std::max(result.retry_after, milliseconds{1'000});
    reply.set_header("Retry-After",
                     std::to_string((wait.count() + 999) / 1'000));
}

absl::Status caller_server::implementation::start()
{
    if (server_.bind(settings_.address, settings_.caller_port) < 0)
        return absl::UnavailableError("cannot listen on " + settings_.address +
                                      ":" +
                                      std::to_string(settings_.caller_port));
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running())
        std::this_thread::yield();
    return absl::OkStatus();
}

void caller_server::implementation::stop()
{
    if (!thread_.joinable())
        return;
    server_.stop();
    server_.close_idle_connections();
    thread_.join();
}

caller_server::implementation::~implementation()
{
    stop();
}

caller_server::caller_server(node_settings const& settings,
                             traffic_plane& traffic, control_plane& control,
                             view_holder const& view)
    : implementation_(
          std::make_unique<implementation>(settings, traffic, control, view))
{
}

caller_server::~caller_server() = default;

absl::Status caller_server::start()
{
    return implementation_->start();
}

void caller_server::stop()
{
    implementation_->stop();
}

int caller_server::open_requests() const
{
    return implementation_->open_requests();
}

} // namespace pollenhall
