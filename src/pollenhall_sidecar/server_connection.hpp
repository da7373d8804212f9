// Server side of one HTTP/1.1 connection, used for callers, peers and the
// platform. Reads pipelined requests ahead, passes each to a handler as soon as
// it is complete, writes the responses in the order of the requests, and
// detects a disconnect of the client.

#pragma once

#include "deadline_timers.hpp"

#include <pollenhall/mesh/byte_budget.hpp>
#include <pollenhall/mesh/http_reader.hpp>

#include <array>
#include <deque>
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
    /// The header, or a further part of the body, did not arrive in time.
    read_timeout
};

/// Timeouts and size limits of the connections of one listener.
struct server_limits
{
    mesh::http_reader_limits reader;
    /// Maximum time from the first to the last byte of a header.
    milliseconds header_timeout{3'000};
    /// Time without a request after which a connection is closed, and without a
    /// further byte of a body after which the request is rejected.
    milliseconds idle_timeout{15'000};
};

class server_connection;

/// One request on a connection and its response. Not thread-safe.
class server_exchange : public std::enable_shared_from_this<server_exchange>
{
public:
    server_exchange(std::shared_ptr<server_connection> connection,
                    mesh::byte_budget& memory_budget, std::string method,
                    mono_time arrived);

    /// Sets the response, which is written after those to all earlier requests
    /// of the connection. If `close` is set, no further request is accepted and
    /// the connection is closed after the last response. Does nothing if there
    /// is a response already or the connection is closed.
    void respond(mesh::http_response const& response, bool close);
    /// Sets a serialized response, which need not be a valid one.
    void respond_raw(std::string bytes);
    /// Closes the connection without a response.
    void abort();
    /// Sets the handler that is called if the connection is closed before the
    /// response is set, usually by the client.
    void set_disconnect_handler(std::function<void()> action)
    {
        on_disconnect_ = std::move(action);
    }

    /// Returns whether the request may start now. `idempotent` tells whether it
    /// may run more than once. If an earlier response closes the connection,
    /// the client sends all requests behind it again. Therefore a request that
    /// is not idempotent runs alone: it starts after all earlier requests have
    /// been answered, and later requests start after it.
    [[nodiscard]] bool may_start(bool idempotent);
    /// Passes the request to the handler again once earlier requests have been
    /// answered, unless the connection is closed before.
    void postpone(mesh::http_request request);

    /// Time at which the first byte of the request arrived.
    [[nodiscard]] mono_time arrived() const { return arrived_; }
    [[nodiscard]] std::string const& remote_host() const;
    [[nodiscard]] server_connection const* connection() const
    {
        return connection_.get();
    }

private:
    friend class server_connection;

    std::shared_ptr<server_connection> connection_;
    // Covers the body of the request, later the response.
    mesh::byte_budget::charge memory_charge_;
    std::string method_;
    mono_time arrived_;
    // Whether it runs alone on its connection; see `may_start`.
    bool runs_alone_ = false;
    // Set while the request waits for earlier ones; it has not been started.
    std::optional<mesh::http_request> postponed_;
    std::function<void()> on_disconnect_;
    // Header and body of the response, without the `Connection` field, which
    // depends on whether further responses follow.
    std::optional<std::string> response_;
};

/// Handlers and shared state of the connections of one listener.
struct server_handlers
{
    /// Handles a request; `respond` is called immediately or later.
    std::function<void(std::shared_ptr<server_exchange> const&,
                       mesh::http_request)>
        on_request;
    /// Returns the response to a request that could not be read.
    std::function<mesh::http_response(request_error)> on_request_error;
    /// Returns the current limits.
    std::function<server_limits()> limits;
    /// Memory budget that buffered bytes are charged to; unlimited if null.
    std::shared_ptr<mesh::byte_budget> memory_budget{};
    /// Returns the response to a request whose large body does not fit into the
    /// memory budget, given its header fields. If null, such bodies are read.
    std::function<mesh::http_response(mesh::http_fields const&)> on_no_memory{};
};

/// An HTTP server connection. Not thread-safe.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(asio::ip::tcp::socket socket, deadline_timers& timers,
                      std::shared_ptr<server_handlers const> handlers);

    /// Starts to read requests.
    void start();
    /// Whether no request is being read or served.
    [[nodiscard]] bool is_idle() const
    {
        return exchanges_.empty() && !writing_ && !reader_.started() &&
               read_ahead_.empty();
    }
    /// Whether the connection is closed, or only discards input until it is.
    [[nodiscard]] bool is_closed() const { return closed_ || lingering_; }
    [[nodiscard]] std::string const& remote_host() const
    {
        return remote_host_;
    }
    /// Closes the connection immediately if it is idle, otherwise after the
    /// response to the last request that was accepted.
    void close_when_idle();

private:
    friend class server_exchange;

    void read();
    void on_read(std::error_code error, std::size_t size);
    // Whether further requests may be parsed now.
    [[nodiscard]] bool accepts_requests() const;
    void parse();
    void on_incomplete_request();
    // Charges the body that is being read to the memory budget, from its header
    // on with the announced size. Returns false if it does not fit.
    bool charge_body();
    // Responds to the request that is being read, and reads no further one.
    void respond_to_unread(mesh::http_response const& response);
    void on_request_complete();
    void on_request_error(request_error error);
    void start_header_timer();
    void start_body_timer();
    void send_continue();
    // Passes postponed requests that may start now to the handler.
    void resume_postponed();
    void write_next();
    void write();
    void on_written();
    // Removes the requests behind the first one if none of them has started
    // and no further request is accepted.
    void drop_unstarted_requests();
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
    std::shared_ptr<mesh::byte_budget> memory_budget_;
    // Covers the body that is being read.
    mesh::byte_budget::charge memory_charge_;
    // The body that is being read is charged with its announced size.
    bool body_is_claimed_ = false;
    std::string remote_host_;
    std::array<char, 4'096> buffer_{};
    // Bytes received but not yet parsed, because too many requests are open;
    // reading pauses then.
    std::string read_ahead_;
    // Time at which the first byte of read_ahead_ arrived.
    mono_time read_ahead_since_{};
    // Time at which the first byte of the request being read arrived.
    mono_time request_began_{};
    // Requests whose response is not written yet, in the order of arrival.
    std::deque<std::shared_ptr<server_exchange>> exchanges_;
    std::string output_;
    std::size_t bytes_written_ = 0;
    deadline_timers::handle timeout_timer_;
    // Time of the last response, or of the start of the connection.
    mono_time idle_since_{};
    std::optional<deadline_timers::handle> idle_timer_;
    mono_time linger_until_{};
    bool reading_ = false;
    bool writing_ = false;
    // What is being written is an interim response.
    bool writing_interim_ = false;
    // No further request is accepted; the connection is closed after the
    // responses to the accepted ones.
    bool closing_ = false;
    bool lingering_ = false;
    bool sent_continue_ = false;
    // Guard against recursion through a handler that responds at once.
    bool resuming_ = false;
    bool parsing_ = false;
    bool closed_ = false;
};

} // namespace pollenhall::sidecar
