// Server side of one HTTP/1.1 connection, used for callers, peers and the
// platform. Reads one request at a time, passes it to a handler, writes the
// response, and detects a disconnect of the client.

#pragma once

#include "deadline_timers.hpp"

#include <pollenhall/mesh/byte_budget.hpp>
#include <pollenhall/mesh/http_reader.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// Reason why a request could not be read completely.
enum class request_error
{
    malformed,
    header_too_large,
    body_too_large,
    header_timeout,
    /// The memory budget is exhausted and the body is large.
    no_memory
};

/// Timeouts and size limits of the connections of one listener.
struct server_limits
{
    mesh::http_reader_limits reader;
    /// Maximum time from the first to the last byte of a header.
    milliseconds header_timeout{3'000};
    /// Time without a request after which a connection is closed.
    milliseconds idle_timeout{15'000};
};

class server_connection;

/// Handlers and shared state of the connections of one listener.
struct server_handlers
{
    /// Handles a request; `respond` is called immediately or later.
    std::function<void(std::shared_ptr<server_connection> const&,
                       mesh::http_request)>
        on_request;
    /// Returns the serialized response to a request that could not be read.
    std::function<std::string(request_error)> on_request_error;
    /// Returns the current limits.
    std::function<server_limits()> limits;
    /// Memory budget that buffered bytes are charged to; unlimited if null.
    std::shared_ptr<mesh::byte_budget> memory_budget{};
    /// Whether large bodies are rejected while the memory budget is exhausted.
    bool reject_large_bodies = false;
};

/// An HTTP server connection. Not thread-safe.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(asio::ip::tcp::socket socket, deadline_timers& timers,
                      std::shared_ptr<server_handlers const> handlers);

    /// Starts to read requests.
    void start();
    /// Writes the serialized response to the current request. Closes the
    /// connection afterwards if `close` is set or the client requested it. Does
    /// nothing if there is no current request.
    void respond(std::string response, bool close);
    /// Closes the connection without a response.
    void abort();
    /// Sets the handler that is called if the connection is closed before the
    /// response, usually by the client; cleared by `respond`.
    void set_disconnect_handler(std::function<void()> action)
    {
        on_disconnect_ = std::move(action);
    }
    /// Whether no request is being read or served.
    [[nodiscard]] bool is_idle() const
    {
        return !serving_ && !writing_ && !reader_.started();
    }
    [[nodiscard]] std::string const& remote_host() const
    {
        return remote_host_;
    }
    /// Closes the connection immediately if it is idle, otherwise after the
    /// current response.
    void close_when_idle();

private:
    void read();
    void on_read(std::error_code error, std::size_t size);
    void parse();
    void on_request_error(request_error error);
    void write();
    void on_written();
    // Discards input for a short time after the last response, then closes the
    // connection.
    void linger();
    void close();
    void restart_idle_period();
    void schedule_idle_check(mono_time time);
    void check_idle();

    asio::ip::tcp::socket socket_;
    deadline_timers& timers_;
    std::shared_ptr<server_handlers const> handlers_;
    server_limits limits_;
    mesh::http_reader reader_;
    // The charge covers the request body read so far, or the response being
    // written.
    std::shared_ptr<mesh::byte_budget> memory_budget_;
    mesh::byte_budget::charge memory_charge_;
    std::string remote_host_;
    std::array<char, 4'096> buffer_{};
    // Bytes received but not yet parsed, such as pipelined requests; reading
    // pauses while there are max_read_ahead_bytes or more.
    std::string read_ahead_;
    std::string output_;
    std::size_t bytes_written_ = 0;
    std::function<void()> on_disconnect_;
    deadline_timers::handle timeout_timer_;
    // Time of the last response, or of the start of the connection.
    mono_time idle_since_{};
    std::optional<deadline_timers::handle> idle_timer_;
    bool reading_ = false;
    bool serving_ = false;
    bool writing_ = false;
    bool close_after_response_ = false;
    bool lingering_ = false;
    bool sent_continue_ = false;
    bool closed_ = false;
};

} // namespace pollenhall::sidecar
