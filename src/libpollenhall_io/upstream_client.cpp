// Implements the pool of connections to the upstream, and the conversion of
// calls to HTTP messages.

#include "upstream_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/http_names.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace pollenhall
{
namespace
{

constexpr milliseconds connect_timeout{1'000};
// A process that ends closes its connections before its listening socket. An
// endpoint that still accepts is checked again after this time.
constexpr milliseconds exit_delay{20};
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

mesh::http_request make_request(upstream_endpoint const& endpoint,
                                forwarded_call const& call,
                                std::vector<http_header> const& extra)
{
    mesh::http_request request{.method = call.method,
                               .target =
                                   "/" + call.kind.kind.value() + call.target,
                               .fields = {},
                               .body = {}};
    request.fields.add("Host",
                       endpoint.address + ":" + std::to_string(endpoint.port));
    for (auto const& header : call.headers)
        request.fields.add(header.name, header.value);
    for (auto const& header : extra)
        request.fields.add(header.name, header.value);
    if (call.key)
        request.fields.set("Connection", "close");
    if (call.body)
        request.body = *call.body;
    return request;
}

std::string header_value(mesh::http_response const& response,
                         std::string_view name)
{
    auto const* value = response.fields.find(std::string(name));
    return value == nullptr ? std::string() : *value;
}

milliseconds retry_after_of(mesh::http_response const& response)
{
    constexpr std::int64_t max_retry_after_seconds = 3'600;
    auto const text = header_value(response, "Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return seconds(std::clamp<std::int64_t>(value, 0, max_retry_after_seconds));
}

call_result read_response(mesh::http_response&& response)
{
    call_result result;
    bool const was_shed = header_value(response, http_names::outcome) ==
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
    for (auto const& field : response.fields.all())
    {
        if (!is_hop_by_hop(field.name))
            result.headers.push_back(
                {.name = field.name, .value = field.value});
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
    if (connection_)
        connection_->abort();
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

std::shared_ptr<upstream_connection>
upstream_client::acquire_connection(upstream_endpoint const& endpoint,
                                    bool new_connection)
{
    if (!new_connection)
    {
        std::lock_guard const lock(mutex_);
        while (!idle_.empty())
        {
            auto item = std::move(idle_.back());
            idle_.pop_back();
            if (item.endpoint == endpoint && item.connection->is_reusable())
                return item.connection;
        }
    }
    auto connection = std::make_shared<upstream_connection>();
    if (!connection->connect(endpoint, connect_timeout))
        return nullptr;
    return connection;
}

void upstream_client::release_connection(
    upstream_endpoint const& endpoint,
    std::shared_ptr<upstream_connection> connection)
{
    std::lock_guard const lock(mutex_);
    if (idle_.size() < max_idle_connections_ && connection->is_reusable())
        idle_.push_back(
            {.endpoint = endpoint, .connection = std::move(connection)});
}

exchange_result upstream_client::exchange(upstream_endpoint const& endpoint,
                                          forwarded_call const& call,
                                          std::vector<http_header> const& extra,
                                          exchange_handle& handle)
{
    auto connection = acquire_connection(endpoint, call.key.has_value());
    if (!connection)
        return {.result = make_refusal(refusal::no_upstream),
                .unreachable = true};
    {
        std::lock_guard const lock(handle.mutex_);
        if (handle.cancelled_)
            return {.result = make_refusal(refusal::cancelled)};
        handle.connection_ = connection;
    }
    if (mono_now() >= call.deadline)
        return {.result = make_refusal(refusal::deadline)};
    mesh::http_response response;
    auto const end = connection->request(
        mesh::write_request(make_request(endpoint, call, extra)),
        call.method == "HEAD", call.deadline, response);
    {
        std::lock_guard const lock(handle.mutex_);
        handle.connection_.reset();
    }
    // After a cancellation, the end of the stream is not the upstream's.
    bool const is_whole = end == request_end::answered &&
                          !(response.ended_by_close && handle.is_cancelled());
    if (is_whole)
    {
        if (!handle.is_cancelled())
            release_connection(endpoint, std::move(connection));
        return {.result = read_response(std::move(response))};
    }
    exchange_result failed{.result = make_unknown_result()};
    failed.result.upstream_failed = true;
    failed.broken = end == request_end::broken && !handle.is_cancelled();
    if (failed.broken)
        failed.crashed = has_ended(endpoint);
    return failed;
}

} // namespace pollenhall
