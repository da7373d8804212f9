// Fixture for tests of the data plane with real sockets on loopback: a caller,
// two nodes and their upstreams on one thread, and upstreams that misbehave.

#pragma once

#include "client_connection.hpp"
#include "free_address.hpp"
#include "origin_call.hpp"
#include "traffic_node.hpp"

#include <pollenhall/io/clocks.hpp>

#include <doctest/doctest.h>
#include <faulty_server.hpp>

#include <array>
#include <deque>

#include <asio/write.hpp>

namespace pollenhall::sidecar::testing
{

using pollenhall::testing::connection_end;
using pollenhall::testing::faulty_server;
using pollenhall::testing::raw_server;

inline mesh::header_names const names{.request_id = "Test-Id",
                                      .time_left_ms = "Test-Time-Left",
                                      .caller_service = "Test-Caller",
                                      .expected_incarnation = "Test-Expected",
                                      .incarnation = "Test-Incarnation",
                                      .signature = "Test-Signature",
                                      .not_run = "Test-Not-Run",
                                      .retry_after = "Retry-After"};

/// An upstream that follows a script with one step per request.
class scripted_upstream
{
public:
    enum class step
    {
        respond,
        respond_twice,
        fail,
        reject,
        // Writes the last rejection on this connection once more, if there is
        // one, and then responds.
        reject_again,
        disconnect,
        // Closes the connection and refuses new ones, as if the process had
        // ended.
        crash,
        hang
    };

    scripted_upstream(asio::io_context& context, deadline_timers& timers,
                      std::string name, char const* host = "127.0.0.1")
        : name_(std::move(name)), address_(free_address(host)),
          listener_(context, timers,
                    {.on_request = [this](auto const& from, auto request)
                     { serve(from, std::move(request)); },
                     .on_request_error = [](request_error)
                     { return mesh::http_response{.status = 400}; },
                     .limits = [] { return server_limits{}; }})
    {
        REQUIRE(listener_.open(address_).ok());
    }

    std::deque<step> script;
    std::vector<mesh::http_request> received;
    int disconnects = 0;
    // Size of each response's body; 0 for the name and the request's body.
    std::size_t body_size = 0;

    /// Whether a request is waiting for its response.
    [[nodiscard]] bool has_pending_request() const { return !pending_.empty(); }
    /// Responds to the requests for which the script step was `hang`.
    void respond_to_pending_requests()
    {
        for (auto const& item : std::exchange(pending_, {}))
            item.from->respond_raw(item.response);
    }
    void abort_pending_requests()
    {
        for (auto const& item : std::exchange(pending_, {}))
            item.from->abort();
    }
    /// Stops accepting connections and closes idle ones, as if the process had
    /// exited.
    void stop_listening()
    {
        listener_.stop_accepting();
        listener_.close_when_idle();
    }

    [[nodiscard]] asio::ip::tcp::endpoint const& address() const
    {
        return address_;
    }
    [[nodiscard]] mesh::registered_upstream registration() const
    {
        return {.last = {.incarnation = mesh::incarnation_id(name_),
                         .service = service_name("shop"),
                         .slots = 20}};
    }

private:
    void serve(std::shared_ptr<server_exchange> const& from,
               mesh::http_request request)
    {
        auto const action = script.empty() ? step::respond : script.front();
        if (!script.empty())
            script.pop_front();
        mesh::http_response response{.status = 200,
                                     .body = name_ + " " + request.body};
        if (body_size > 0)
            response.body.assign(body_size, 'b');
        response.fields.add(names.request_id,
                            *request.fields.find(names.request_id));
        if (action == step::reject)
        {
            response.status = 503;
            response.fields.add(names.not_run, "1");
        }
        else
            response.fields.add(names.signature, "s");
        if (action == step::fail)
            response.status = 500;
        auto bytes = mesh::write_response(response, request.method);
        if (action == step::reject)
            rejections_.insert_or_assign(from->connection(), bytes);
        if (action == step::reject_again &&
            rejections_.contains(from->connection()))
            bytes = rejections_.at(from->connection()) + bytes;
        received.push_back(std::move(request));

        if (action == step::crash)
            stop_listening();
        if (action == step::disconnect || action == step::crash)
            from->abort();
        else if (action == step::hang)
        {
            from->set_disconnect_handler([this] { ++disconnects; });
            pending_.push_back({.from = from, .response = bytes});
        }
        else
            from->respond_raw(action == step::respond_twice ? bytes + bytes
                                                            : bytes);
    }

    std::string name_;
    asio::ip::tcp::endpoint address_;
    listener listener_;
    struct pending_request
    {
        std::shared_ptr<server_exchange> from;
        std::string response;
    };
    std::vector<pending_request> pending_;
    // Last rejection on each connection.
    std::map<server_connection const*, std::string> rejections_;
};

/// An upstream that answers with a prefix and then with the same bytes again
/// and again, until the client closes the connection.
class endless_upstream
{
public:
    endless_upstream(asio::io_context& context, std::string prefix,
                     std::string filler)
        : prefix_(std::move(prefix)), filler_(std::move(filler)),
          server_(context, "127.0.0.1",
                  [this](auto const& client) { send(client, prefix_); })
    {
    }

    std::size_t bytes_sent = 0;
    int closed = 0;

    [[nodiscard]] asio::ip::tcp::endpoint address() const
    {
        return server_.address();
    }

private:
    void send(raw_server::connection const& to, std::string const& bytes)
    {
        asio::async_write(*to, asio::buffer(bytes),
                          [this, to](std::error_code failed, std::size_t size)
                          {
                              bytes_sent += size;
                              if (failed)
                                  ++closed;
                              else
                                  send(to, filler_);
                          });
    }

    std::string prefix_;
    std::string filler_;
    raw_server server_;
};

/// A server that answers the first request of each connection with given bytes
/// and closes the connection.
class cutting_server
{
public:
    explicit cutting_server(asio::io_context& context)
        : server_(context, "127.0.0.3",
                  [this](auto const& client)
                  {
                      ++requests;
                      std::error_code ignored; // the client may have left
                      asio::write(*client, asio::buffer(response), ignored);
                  })
    {
    }

    std::string response;
    int requests = 0;

    [[nodiscard]] asio::ip::tcp::endpoint address() const
    {
        return server_.address();
    }

private:
    raw_server server_;
};

inline mesh::route make_route(char const* prefix, bool idempotent)
{
    return {.name = mesh::route_name(prefix),
            .host = "shop.example",
            .prefix = prefix,
            .idempotent = idempotent,
            .timeout = milliseconds(600),
            .objective = milliseconds(300),
            .attempts = 2,
            .parts = {{.service = service_name("shop")}}};
}

/// Two nodes of one service, each with its own upstream, and a caller of the
/// first node.
struct two_nodes
{
    asio::io_context context{1};
    deadline_timers timers{context};
    scripted_upstream first_upstream{context, timers, "u1"};
    scripted_upstream second_upstream{context, timers, "u2"};
    node_options first_options = options("127.0.0.1", first_upstream);
    // A second loopback address represents another host.
    node_options second_options = options("127.0.0.2", second_upstream);
    node_metrics metrics;
    traffic_node first{context, first_options, metrics};
    traffic_node second{context, second_options, metrics};
    std::shared_ptr<client_pool> caller = std::make_shared<client_pool>(
        context, timers, first_options.outbound, client_pool_options{});
    int last_id = 0;

    two_nodes()
    {
        REQUIRE(first.open().ok());
        REQUIRE(second.open().ok());
        first.set_upstream(first_upstream.registration());
        second.set_upstream(second_upstream.registration());
        auto const routes = std::make_shared<mesh::route_table const>(
            mesh::configuration{.version = mesh::config_version(1),
                                .routes = {make_route("/read/", true),
                                           make_route("/order/", false)}});
        first.set_routes(routes);
        second.set_routes(routes);
        first.set_hosts(hosts());
        second.set_hosts(hosts());
    }

    static node_options options(char const* host,
                                scripted_upstream const& upstream)
    {
        auto const gate = free_address(host);
        return {
            .node = node_id(host),
            .host = mesh::host_address(host),
            .zone = zone_name("z"),
            .service = service_name("shop"),
            .upstream = upstream.address(),
            .outbound = free_address(),
            .gate = gate,
            .headers = names,
            .retries = {.ratio = 0.2, .slack = 100, .per_second_slack = 50}};
    }

    [[nodiscard]] std::vector<mesh::host_entry> hosts() const
    {
        auto const entry =
            [](node_options const& node, scripted_upstream const& upstream)
        {
            return mesh::host_entry{
                .host = node.host,
                .gate_port = node.gate.port(),
                .zone = node.zone,
                .service = node.service,
                .incarnation = upstream.registration().last.incarnation,
                .slots = 20,
                .ready = true};
        };
        return {entry(first_options, first_upstream),
                entry(second_options, second_upstream)};
    }

    /// Makes the given host the only one known to the first node.
    void set_only_host(std::size_t index)
    {
        first.set_hosts({hosts().at(index)});
    }

    mesh::http_request make_request(std::string const& method,
                                    std::string const& path)
    {
        mesh::http_request request{.method = method, .target = path};
        request.fields.add("Host", "shop.example");
        request.fields.add(names.request_id, std::to_string(++last_id));
        request.fields.add(names.time_left_ms, "2000");
        if (method == "POST")
            request.body = "crate";
        return request;
    }

    std::shared_ptr<client_connection>
    start(mesh::http_request const& request,
          std::function<void(exchange_result)> on_end)
    {
        return caller->start({.bytes = mesh::write_request(request),
                              .deadline = mono_now() + seconds{3},
                              .on_end = std::move(on_end)});
    }

    exchange_result call(mesh::http_request const& request)
    {
        std::optional<exchange_result> result;
        start(request, [&](exchange_result const& ended) { result = ended; });
        run_until([&] { return result.has_value(); });
        REQUIRE(result.has_value());
        return *result;
    }

    exchange_result call(std::string const& method, std::string const& path)
    {
        return call(make_request(method, path));
    }

    template <class Condition>
    void run_until(Condition&& reached, milliseconds timeout = seconds{4})
    {
        auto const end = mono_now() + timeout;
        while (!reached() && mono_now() < end)
            context.run_one_for(milliseconds{20});
    }
    void run_for(milliseconds time)
    {
        run_until([] { return false; }, time);
    }
    [[nodiscard]] std::size_t request_count() const
    {
        return first_upstream.received.size() + second_upstream.received.size();
    }
};

using step = scripted_upstream::step;

} // namespace pollenhall::sidecar::testing
