// Tests broken responses with real sockets on loopback: a node whose upstream,
// or whose only peer, writes the bytes that a test sets. Guards against a
// broken response that a caller gets as a complete one, and against one that
// ends a call only at its time limit.

#include "sidecar_fixture.hpp"

#include <absl/strings/str_cat.h>

namespace
{

using namespace pollenhall;
using namespace pollenhall::sidecar;
using namespace pollenhall::sidecar::testing;

// Larger than what the kernel buffers of a connection, so that the request is
// still being written when the response arrives.
constexpr std::size_t long_upload_bytes = std::size_t{16} * 1'024 * 1'024;
// Time limit of the route. The caller waits longer, so that each call ends.
constexpr milliseconds route_timeout{2'500};
// Well below that time limit.
constexpr milliseconds max_failure_time{1'500};

/// A node whose upstream, or whose only peer, is a faulty server, and a caller.
struct node_with_faulty_server
{
    enum class role
    {
        upstream,
        peer
    };

    explicit node_with_faulty_server(role server_role)
        : server_is_peer(server_role == role::peer)
    {
        auto options = nodes.first_options;
        if (!server_is_peer)
            options.upstream = server.address();
        options.outbound = free_address();
        options.gate = free_address();
        node.emplace(nodes.context, options, nodes.metrics);
        REQUIRE(node->open().ok());
        node->set_upstream(nodes.first_upstream.registration());
        auto route = make_route("/order/", false);
        route.timeout = route_timeout;
        node->set_routes(
            std::make_shared<mesh::route_table const>(mesh::configuration{
                .version = mesh::config_version(1), .routes = {route}}));
        hosts = {nodes.hosts().at(server_is_peer ? 1 : 0)};
        hosts[0].gate_port = options.gate.port();
        if (server_is_peer)
        {
            hosts[0].host =
                mesh::host_address(server.address().address().to_string());
            hosts[0].gate_port = server.address().port();
        }
        nodes.caller = std::make_shared<client_pool>(
            nodes.context, nodes.timers, options.outbound,
            client_pool_options{});
    }

    /// Waits for the calls that are left open if a check failed. A node is not
    /// destroyed while calls run.
    ~node_with_faulty_server() { nodes.run_for(milliseconds{200}); }
    node_with_faulty_server(node_with_faulty_server const&) = delete;
    node_with_faulty_server& operator=(node_with_faulty_server const&) = delete;

    /// Fields without which a response is not taken for the one to a request.
    [[nodiscard]] std::string fields() const
    {
        std::string fields = "Test-Id: 7\r\nTest-Signature: s\r\n";
        if (!server_is_peer)
            return fields;
        return fields + gate_report_header + ": " +
               format_gate_report({.end = mesh::attempt_end::answered,
                                   .reason = "answered",
                                   .load = {.limit = 20}}) +
               "\r\n";
    }

    /// Sends a request that may run once, to which the server responds with
    /// `response`.
    exchange_result call(std::string response, std::size_t upload_bytes = 5)
    {
        server.response = std::move(response);
        // Ends the pause of a peer that broke off.
        node->set_hosts({});
        node->set_hosts(hosts);
        auto request =
            nodes.make_request("POST", "/order/" + std::to_string(++calls));
        request.fields.set(names.request_id, "7");
        request.fields.set(names.time_left_ms, "10000");
        request.body.assign(upload_bytes, 'u');
        auto const began = mono_now();
        auto result = nodes.call(request);
        CHECK(mono_now() - began < max_failure_time);
        return result;
    }

    bool const server_is_peer;
    two_nodes nodes;
    faulty_server server{nodes.context, "127.0.0.3"};
    std::optional<traffic_node> node;
    std::vector<mesh::host_entry> hosts;
    int calls = 0;
};

} // namespace

TEST_CASE("a response whose connection ends")
{
    std::optional<node_with_faulty_server> test;
    std::size_t upload_bytes = 5;

    SUBCASE("after a short request, by an upstream")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("after a short request, by a peer")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    SUBCASE("during an upload, by an upstream")
    {
        test.emplace(node_with_faulty_server::role::upstream);
        upload_bytes = long_upload_bytes;
    }
    SUBCASE("during an upload, by a peer")
    {
        test.emplace(node_with_faulty_server::role::peer);
        upload_bytes = long_upload_bytes;
    }
    REQUIRE(test);
    auto& server = test->server;
    for (std::string const status : {"200 OK", "500 Failed"})
        for (milliseconds const delay : {milliseconds{0}, milliseconds{30}})
        {
            CAPTURE(status);
            CAPTURE(delay.count());
            server.end_delay = delay;
            auto const head = "HTTP/1.1 " + status + "\r\n" + test->fields();
            auto const whole_status = status == "200 OK" ? 200 : 500;
            auto const with_length = head + "Content-Length: 5\r\n\r\nHello";
            auto const in_chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
                                          "5\r\nHello\r\n0\r\n\r\n";
            auto const without_length = head + "\r\nHello";

            // Without a length, only an orderly end shows that it is complete.
            server.end = connection_end::reset;
            CHECK(test->call(without_length, upload_bytes).response.status ==
                  502);
            for (auto const end :
                 {connection_end::orderly, connection_end::orderly_then_reset})
            {
                server.end = end;
                auto const whole = test->call(without_length, upload_bytes);
                CHECK(whole.response.status == whole_status);
                CHECK(whole.response.body == "Hello");
            }
            for (auto const end :
                 {connection_end::orderly, connection_end::reset})
            {
                server.end = end;
                for (auto const& bytes : {with_length, in_chunks})
                {
                    auto const cut = bytes.substr(0, bytes.size() - 1);
                    CHECK(test->call(cut, upload_bytes).response.status == 502);
                    auto const result = test->call(bytes, upload_bytes);
                    CHECK(result.response.status == whole_status);
                    CHECK(result.response.body == "Hello");
                }
                CHECK(test->call(head, upload_bytes).response.status == 502);
            }
        }
}

TEST_CASE("a response that is not HTTP/1.1 ends the call at once")
{
    std::optional<node_with_faulty_server> test;
    SUBCASE("of an upstream")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("of a peer")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    REQUIRE(test);
    auto const rest = test->fields() + "Connection: close\r\n"
                                       "Content-Length: 5\r\n\r\nHello";
    CHECK(test->call("HTTP/1.1 200 OK\r\n" + rest).response.status == 200);
    for (std::string const line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 0200 OK", "HTTP/1.1 200 O\x01K",
          "HTTP/1.1 101 Switching Protocols"})
    {
        CAPTURE(line);
        CHECK(test->call(absl::StrCat(line, "\r\n", rest)).response.status ==
              502);
    }
    for (std::string const line :
         {"X Bad: 1", " X-Bad: 1", "\tX-Bad: 1", "X-Bad : 1", "\rX-Bad: 1",
          "\nX-Bad: 1", "X\x01-Bad: 1", "X-Bad"})
    {
        CAPTURE(line);
        auto const head = "HTTP/1.1 200 OK\r\n";
        CHECK(test->call(absl::StrCat(head, line, "\r\n", rest))
                  .response.status == 502);
        // The line is the last one of the head.
        auto const fields = rest.substr(0, rest.find("\r\n\r\n") + 2);
        CHECK(test->call(absl::StrCat(head, fields, line, "\r\n\r\nHello"))
                  .response.status == 502);
    }
    for (std::string const body :
         {"5\r\nHelloXY0\r\n\r\n", "5\r\nHello\n\n0\r\n\r\n",
          "5\rXHello\r\n0\r\n\r\n", "5\r\nHello\r\n0\r\nX Bad: 1\r\n\r\n",
          "5\r\nHello\r\n0\r\n X-Bad: 1\r\n\r\n"})
    {
        CAPTURE(body);
        CHECK(test->call("HTTP/1.1 200 OK\r\n" + test->fields() +
                         "Connection: close\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n" +
                         body)
                  .response.status == 502);
    }
}

TEST_CASE("a response with a transfer coding that is not removed")
{
    std::optional<node_with_faulty_server> test;
    SUBCASE("by an upstream ends the call at once")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("by a peer ends the call at once")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    REQUIRE(test);
    test->server.end = connection_end::orderly;
    for (std::string const coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "xchunked"})
    {
        CAPTURE(coding);
        CHECK(test->call("HTTP/1.1 200 OK\r\n" + test->fields() +
                         "Transfer-Encoding: " + coding +
                         "\r\n\r\n5\r\nHello\r\n0\r\n\r\n")
                  .response.status == 502);
    }
}

TEST_CASE("a response with a status that allows no body")
{
    std::optional<node_with_faulty_server> test;
    SUBCASE("by an upstream is delivered at once")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("by a peer is delivered at once")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    REQUIRE(test);
    for (std::string const status : {"304", "204"})
        for (std::string const framing :
             {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"})
        {
            CAPTURE(status);
            CAPTURE(framing);
            auto const result = test->call(
                absl::StrCat("HTTP/1.1 ", status, " Status\r\n", test->fields(),
                             "Connection: close\r\n", framing, "\r\n"));
            CHECK(std::to_string(result.response.status) == status);
        }
}

TEST_CASE("the trailer of a response does not say how a call ended")
{
    std::optional<node_with_faulty_server> test;
    SUBCASE("of an upstream")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("of a peer")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    REQUIRE(test);
    // A call that has run would be reported as rejected, and sent again.
    auto const result = test->call("HTTP/1.1 200 OK\r\n" + test->fields() +
                                   "Connection: close\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nHello\r\n0\r\n"
                                   "Test-Not-Run: 1\r\n"
                                   "Content-Encoding: gzip\r\n\r\n");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "Hello");
    CHECK(result.response.fields.find("Test-Not-Run") == nullptr);
    CHECK(test->server.requests == 1);
}

TEST_CASE("a response that arrives during an upload")
{
    std::optional<node_with_faulty_server> test;
    SUBCASE("by an upstream is the last one on its connection")
    {
        test.emplace(node_with_faulty_server::role::upstream);
    }
    SUBCASE("by a peer is the last one on its connection")
    {
        test.emplace(node_with_faulty_server::role::peer);
    }
    REQUIRE(test);
    auto const response = "HTTP/1.1 200 OK\r\n" + test->fields() +
                          "Content-Length: 5\r\n\r\nHello";
    // Otherwise the next request would be read as the rest of the upload.
    CHECK(test->call(response, long_upload_bytes).response.status == 200);
    CHECK(test->call(response).response.status == 200);
    CHECK(test->server.requests == 2);
}
