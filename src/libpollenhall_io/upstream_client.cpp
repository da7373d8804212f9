// Implements `upstream_client` with cpp-httplib.

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/http_names.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <httplib.h>

namespace pollenhall
{
namespace
{

constexpr milliseconds connect_timeout{1'000};
constexpr milliseconds timeout_tolerance{5};
// A process that ends closes its connections before its listening socket. An
// endpoint that still accepts is checked again after this time.
constexpr milliseconds exit_delay{20};
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

std::shared_ptr<httplib::Client> connect(upstream_endpoint const& endpoint)
{
    auto client =
        std::make_shared<httplib::Client>(endpoint.address, endpoint.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    client->set_url_encode(false);
    client->set_connection_timeout(connect_timeout);
    return client;
}

httplib::Request make_request(forwarded_call const& call,
                              std::vector<http_header> const& extra)
{
    httplib::Request request;
    request.method = call.method;
    request.path = "/" + call.kind.kind.value() + call.target;
    if (call.body)
        request.body = *call.body;
    for (auto const& header : call.headers)
        request.headers.emplace(header.name, header.value);
    for (auto const& header : extra)
        request.headers.emplace(header.name, header.value);
    return request;
}

milliseconds retry_after_of(httplib::Response const& response)
{
    constexpr std::int64_t max_retry_after_seconds = 3'600;
    auto const text = response.get_header_value("Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return seconds(std::clamp<std::int64_t>(value, 0, max_retry_after_seconds));
}

call_result read_response(httplib::Response&& response)
{
    call_result result;
    bool const was_shed =
        response.get_header_value(std::string(http_names::outcome)) ==
        to_string(outcome::not_run);
    if (was_shed && (response.status == service_unavailable ||
                     response.status == too_many_requests))
        return make_refusal(refusal::upstream_refused,
                            retry_after_of(response));
    result.what = outcome::completed;
    result.status = response.status;
    result.upstream_failed = response.status == bad_gateway ||
                             response.status == service_unavailable ||
                             response.status == gateway_timeout;
    for (auto const& [name, value] : response.headers)
    {
        if (!is_hop_by_hop(name))
            result.headers.push_back({.name = name, .value = value});
    }
    result.body = std::move(response.body);
    return result;
}

// Whether the endpoint accepts connections. Sends no request, so that nothing
// runs.
bool accepts_connections(upstream_endpoint const& endpoint)
{
    asio::io_context context;
    asio::ip::tcp::socket probe(context);
    asio::error_code error;
    auto const address = asio::ip::make_address(endpoint.address, error);
    probe.connect({address, static_cast<std::uint16_t>(endpoint.port)}, error);
    return error != asio::error::connection_refused;
}

// Whether the process at the endpoint has ended, after a connection to it
// broke.
bool has_ended(upstream_endpoint const& endpoint)
{
    if (!accepts_connections(endpoint))
        return true;
    std::this_thread::sleep_for(exit_delay);
    return !accepts_connections(endpoint);
}

bool is_connect_error(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

} // namespace

bool is_hop_by_hop(std::string_view name)
{
    constexpr std::array<std::string_view, 12> names{"connection",
                                                     "keep-alive",
                                                     "proxy-authenticate",
                                                     "proxy-connection",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade",
                                                     "content-length",
                                                     "host",
                                                     "pollenhall-outcome"};
    return std::any_of(names.begin(), names.end(),
                       [&](auto const item)
                       { return http_names::are_equal(item, name); });
}

void exchange_handle::cancel()
{
    std::lock_guard const lock(mutex_);
    cancelled_ = true;
    if (client_)
        client_->stop();
}

bool exchange_handle::is_cancelled() const
{
    std::lock_guard const lock(mutex_);
    return cancelled_;
}

upstream_client::upstream_client(std::size_t max_idle_connections)
    : max_idle_connections_(max_idle_connections)
{
}

upstream_client::~upstream_client() = default;

std::shared_ptr<httplib::Client>
upstream_client::acquire_connection(upstream_endpoint const& endpoint)
{
    {
        std::lock_guard const lock(mutex_);
        while (!idle_.empty())
        {
            auto item = std::move(idle_.back());
            idle_.pop_back();
            if (item.endpoint == endpoint)
                return item.client;
        }
    }
    return connect(endpoint);
}

void upstream_client::release_connection(
    upstream_endpoint const& endpoint, std::shared_ptr<httplib::Client> client)
{
    std::lock_guard const lock(mutex_);
    if (idle_.size() < max_idle_connections_)
        idle_.push_back({.endpoint = endpoint, .client = std::move(client)});
}

exchange_result upstream_client::exchange(upstream_endpoint const& endpoint,
                                          forwarded_call const& call,
                                          std::vector<http_header> const& extra,
                                          exchange_handle& handle)
{
    auto client = acquire_connection(endpoint);
    {
        std::lock_guard const lock(handle.mutex_);
        if (handle.cancelled_)
            return {.result = make_refusal(refusal::cancelled)};
        handle.client_ = client;
    }
    auto const left =
        std::chrono::duration_cast<milliseconds>(call.deadline - mono_now());
    if (left <= milliseconds{0})
        return {.result = make_refusal(refusal::deadline)};
    client->set_read_timeout(left);
    client->set_write_timeout(left);
    auto request = make_request(call, extra);
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool const answered = client->send(request, response, error);
    {
        std::lock_guard const lock(handle.mutex_);
        handle.client_.reset();
    }
    if (answered)
    {
        if (!handle.is_cancelled())
            release_connection(endpoint, std::move(client));
        return {.result = read_response(std::move(response))};
    }
    if (is_connect_error(error))
        return {.result = make_refusal(refusal::no_upstream),
                .unreachable = true};
    exchange_result broken{.result = make_unknown_result()};
    broken.result.upstream_failed = true;
    // The client's timeouts are truncated to whole milliseconds, so they may
    // expire shortly before the deadline.
    bool const timed_out = mono_now() + timeout_tolerance >= call.deadline;
    broken.broken = !timed_out && !handle.is_cancelled();
    if (broken.broken)
        broken.crashed = has_ended(endpoint);
    return broken;
}

} // namespace pollenhall
