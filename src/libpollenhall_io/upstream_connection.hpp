// A blocking HTTP/1.1 connection to the upstream. cpp-httplib limits the time
// of each read only and not the size of a header, so that an upstream which
// sends bytes without end would hold a thread and its memory for good.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/io/upstream_client.hpp>
#include <pollenhall/mesh/http_message.hpp>
#include <pollenhall/mesh/http_reader.hpp>

#include <optional>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace pollenhall
{

/// How a request on an `upstream_connection` ended.
enum class request_end
{
    answered,
    /// The connection broke, or what was received is not a valid response.
    broken,
    timed_out,
    /// The response exceeds a limit; the connection must be closed.
    too_large
};

/// One connection. Used by one thread at a time, except for `abort`.
class upstream_connection
{
public:
    upstream_connection();

    /// Connects within `timeout`; returns whether that succeeded.
    bool connect(upstream_endpoint const& endpoint, milliseconds timeout);
    /// Sends a request and reads its response into `response`, until
    /// `deadline`.
    request_end request(std::string_view bytes, bool is_head,
                        mono_time deadline, mesh::http_response& response);
    /// Whether another request may be sent: the last one was sent whole, its
    /// response was complete, and neither the end of the connection nor further
    /// bytes have arrived since. Such bytes belong to no request.
    [[nodiscard]] bool is_reusable();
    /// Ends a request that another thread is waiting for. Thread-safe.
    void abort();

private:
    // Waits until the socket is ready for `events` of poll(); returns false at
    // the deadline.
    bool wait(short events, mono_time deadline);
    // Writes what the connection accepts at once. Returns whether more is to be
    // written; not after an error.
    bool write_some();
    // Handles the end of the connection, whether in order or not.
    request_end on_connection_end(asio::error_code error,
                                  mesh::http_response& response);
    // Reads received bytes; returns nothing if the response is incomplete.
    std::optional<request_end> read(std::string_view data, bool is_head,
                                    mesh::http_response& response);
    // Takes a complete message. Returns whether it is the response, and not an
    // interim one.
    bool take(mesh::http_response& response);

    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    mesh::http_reader reader_;
    bool reusable_ = false;
    // Part of the request that was not sent yet.
    std::string_view unsent_;
    int interim_responses_ = 0;
    // Whether writing the request failed because the connection broke before
    // the upstream had ended its side.
    bool is_reset_ = false;
};

} // namespace pollenhall
