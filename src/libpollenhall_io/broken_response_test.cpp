// Tests broken responses of the upstream of a daemon, with real sockets on
// loopback. Guards against a broken response that counts as a complete one, and
// against one that ends an exchange only at its deadline.

#include "faulty_server.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <thread>

namespace
{

using namespace pollenhall;
using testing::connection_end;

// Larger than what the kernel buffers of a connection, so that the request is
// still being written when the response arrives.
constexpr std::size_t long_upload_bytes = std::size_t{16} * 1'024 * 1'024;
constexpr std::size_t max_idle_connections = 4;
constexpr milliseconds call_timeout{10'000};
// Well below the deadline of a call.
constexpr milliseconds max_failure_time{2'000};

/// An upstream that writes the bytes that a test sets.
class faulty_upstream
{
public:
    /// Whether the connection of a call may carry the next one.
    bool keeps_connections = false;

    testing::faulty_server& server() { return server_; }

    /// Makes a call to which the upstream responds with `response`.
    call_result call(std::string response, std::size_t upload_bytes = 5)
    {
        server_.response = std::move(response);
        context_.restart();
        std::thread server_thread([this] { context_.run(); });
        if (!keeps_connections)
            client_.emplace(max_idle_connections);
        forwarded_call call;
        call.method = "POST";
        call.body = std::make_shared<std::string const>(upload_bytes, 'u');
        auto const began = mono_now();
        call.deadline = began + call_timeout;
        exchange_handle handle;
        auto const result = client_->exchange(
            {.address = "127.0.0.1", .port = server_.address().port()}, call,
            {}, handle);
        CHECK(mono_now() - began < max_failure_time);
        context_.stop();
        server_thread.join();
        return result.result;
    }

private:
    asio::io_context context_;
    testing::faulty_server server_{context_};
    std::optional<upstream_client> client_{max_idle_connections};
};

} // namespace

TEST_CASE("a response of an upstream whose connection ends")
{
    faulty_upstream upstream;
    std::size_t upload_bytes = 5;

    SUBCASE("after a short request") {}
    SUBCASE("during an upload")
    {
        upload_bytes = long_upload_bytes;
    }
    for (int const status : {200, 500})
        for (milliseconds const delay : {milliseconds{0}, milliseconds{30}})
        {
            CAPTURE(status);
            CAPTURE(delay.count());
            upstream.server().end_delay = delay;
            auto const head =
                "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
            auto const with_length = head + "Content-Length: 5\r\n\r\nHello";
            auto const in_chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
                                          "5\r\nHello\r\n0\r\n\r\n";
            auto const without_length = head + "\r\nHello";
            auto const check_whole = [&](std::string const& bytes)
            {
                auto const result = upstream.call(bytes, upload_bytes);
                CHECK(result.what == outcome::completed);
                CHECK(result.status == status);
                CHECK(result.body == "Hello");
            };
            auto const check_broken = [&](std::string const& bytes) {
                CHECK(upstream.call(bytes, upload_bytes).what ==
                      outcome::unknown);
            };

            // Without a length, only an orderly end shows that it is complete.
            upstream.server().end = connection_end::reset;
            check_broken(without_length);
            for (auto const end :
                 {connection_end::orderly, connection_end::orderly_then_reset})
            {
                upstream.server().end = end;
                check_whole(without_length);
            }
            for (auto const end :
                 {connection_end::orderly, connection_end::reset})
            {
                upstream.server().end = end;
                for (auto const& bytes : {with_length, in_chunks})
                {
                    check_broken(bytes.substr(0, bytes.size() - 1));
                    check_whole(bytes);
                }
                check_broken(head);
            }
        }
}

TEST_CASE("a response that is not HTTP/1.1 ends the exchange at once")
{
    faulty_upstream upstream;
    std::string const rest = "\r\nContent-Length: 5\r\n\r\nHello";
    CHECK(upstream.call("HTTP/1.1 200 OK" + rest).what == outcome::completed);
    for (std::string const line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 0200 OK", "HTTP/1.1 200 O\x01K",
          "HTTP/1.1 101 Switching Protocols"})
    {
        CAPTURE(line);
        CHECK(upstream.call(line + rest).what == outcome::unknown);
    }
    for (std::string const line :
         {"X Bad: 1", " X-Bad: 1", "\tX-Bad: 1", "X-Bad : 1", "\rX-Bad: 1",
          "\nX-Bad: 1", "X\x01-Bad: 1", "X-Bad"})
    {
        CAPTURE(line);
        CHECK(upstream.call(absl::StrCat("HTTP/1.1 200 OK\r\n", line, rest))
                  .what == outcome::unknown);
        CHECK(upstream
                  .call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line +
                        "\r\n\r\nHello")
                  .what == outcome::unknown);
    }
    for (std::string const body :
         {"5\r\nHelloXY0\r\n\r\n", "5\r\nHello\n\n0\r\n\r\n",
          "5\rXHello\r\n0\r\n\r\n", "5\r\nHello\r\n0\r\nX Bad: 1\r\n\r\n",
          "5\r\nHello\r\n0\r\n X-Bad: 1\r\n\r\n"})
    {
        CAPTURE(body);
        CHECK(upstream
                  .call("HTTP/1.1 200 OK\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                        body)
                  .what == outcome::unknown);
    }
}

TEST_CASE(
    "a response with a transfer coding that is not removed is not complete")
{
    faulty_upstream upstream;
    upstream.server().end = connection_end::orderly;
    for (std::string const coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "xchunked"})
    {
        CAPTURE(coding);
        CHECK(upstream
                  .call("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                        "\r\n\r\n5\r\nHello\r\n0\r\n\r\n")
                  .what == outcome::unknown);
    }
}

TEST_CASE("a response with a status that allows no body is complete at once")
{
    faulty_upstream upstream;
    for (int const status : {304, 204})
        for (std::string const framing :
             {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"})
        {
            CAPTURE(status);
            CAPTURE(framing);
            auto const result =
                upstream.call("HTTP/1.1 " + std::to_string(status) +
                              " Status\r\n" + framing + "\r\n");
            CHECK(result.what == outcome::completed);
            CHECK(result.status == status);
        }
}

TEST_CASE("a response that arrives during an upload")
{
    faulty_upstream upstream;
    upstream.keeps_connections = true;
    std::string const response =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHello";

    // Otherwise the next request would be read as the rest of the upload.
    SUBCASE("is the last one on its connection")
    {
        CHECK(upstream.call(response, long_upload_bytes).what ==
              outcome::completed);
        CHECK(upstream.call(response).what == outcome::completed);
        CHECK(upstream.server().requests == 2);
    }
    SUBCASE("lets the upload go on if it is an interim one")
    {
        // The server has read a part of the request before.
        upstream.server().later_response = response;
        upstream.server().later_response_after = long_upload_bytes - 8'192;
        auto const result =
            upstream.call("HTTP/1.1 100 Continue\r\n\r\n", long_upload_bytes);
        CHECK(result.what == outcome::completed);
        CHECK(result.body == "Hello");
    }
}

TEST_CASE("a response without a length of a call that is cancelled")
{
    asio::io_context context;
    testing::faulty_server server(context);
    server.response = "HTTP/1.1 200 OK\r\n\r\nHel";
    std::thread server_thread([&] { context.run(); });
    forwarded_call call;
    call.method = "GET";
    call.deadline = mono_now() + call_timeout;
    exchange_handle handle;
    std::thread canceller(
        [&]
        {
            // Time for the response to arrive.
            std::this_thread::sleep_for(milliseconds{100});
            handle.cancel();
        });
    upstream_client client(max_idle_connections);
    auto const result = client.exchange(
        {.address = "127.0.0.1", .port = server.address().port()}, call, {},
        handle);
    canceller.join();
    context.stop();
    server_thread.join();

    // The end of the stream is the client's own.
    SUBCASE("is not complete")
    {
        CHECK(result.result.what == outcome::unknown);
        CHECK_FALSE(result.broken);
    }
}
