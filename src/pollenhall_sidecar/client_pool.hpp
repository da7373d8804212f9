// HTTP/1.1 client with a pool of keep-alive connections to one address. Used
// for the upstream, for peers and for the store.

#pragma once

#include "deadline_timers.hpp"

#include <pollenhall/mesh/byte_budget.hpp>
#include <pollenhall/mesh/http_reader.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// How an exchange ended.
enum class exchange_end
{
    /// A complete response was received.
    answered,
    /// The connection could not be established; nothing was sent.
    not_connected,
    /// The connection was closed, or the data received is not a valid response
    /// to the request.
    broken,
    timed_out,
    /// The response exceeds a limit of this process, which has closed the
    /// connection.
    too_large
};

std::string_view to_string(exchange_end end);

/// Outcome of an exchange.
struct exchange_result
{
    exchange_end end = exchange_end::broken;
    // Set only if `end` is `answered`.
    mesh::http_response response{};
    // Error description for logs.
    std::string detail{};
    // Whether nothing listens at the address; only for `not_connected`.
    bool refused = false;
};

/// An HTTP request with its deadline and handlers.
struct exchange_request
{
    // Serialized by `write_request`.
    std::string bytes;
    // Ends the exchange once the connection is established; nothing is sent.
    bool connect_only = false;
    // Whether the method is HEAD, so that the response has no body.
    bool is_head = false;
    mono_time deadline{};
    // Whether a stale connection may be reused: one that has been idle so long
    // that the server may have closed it.
    bool allow_stale_connection = true;
    // Returns whether a response belongs to this request; null accepts any.
    // Other responses are skipped, as a faulty upstream may send one twice.
    std::function<bool(mesh::http_response const&)> matches{};
    // Id under which the request may be sent again; empty if it is not.
    std::string id{};
    // Whether a response rejects the request, so that it may be sent again;
    // null if none does. It is not sent again on the same connection: a faulty
    // server may write the rejection once more while it runs the request.
    std::function<bool(mesh::http_response const&)> is_rejection{};
    std::function<void(exchange_result)> on_end;
};

/// Options of `client_pool`.
struct client_pool_options
{
    milliseconds connect_timeout{1'000};
    /// Idle connections are closed after this time, before the server closes
    /// them.
    milliseconds idle_timeout{8'000};
    /// Idle time after which a connection counts as stale.
    milliseconds stale_after{1'500};
    std::size_t max_idle = 512;
    mesh::http_reader_limits reader{};
    /// Budget that the buffered bytes of responses are charged to; unlimited if
    /// null.
    std::shared_ptr<mesh::byte_budget> memory_budget{};
};

class client_connection;

/// Result of an attempt to open a connection.
enum class probe_result
{
    connected,
    /// Nothing listens at the address.
    refused,
    /// There was no response in time.
    silent
};

/// Pool of connections to one address. Not thread-safe.
class client_pool : public std::enable_shared_from_this<client_pool>
{
public:
    client_pool(asio::io_context& context, deadline_timers& timers,
                asio::ip::tcp::endpoint address, client_pool_options options);
    ~client_pool();
    client_pool(client_pool const&) = delete;
    client_pool& operator=(client_pool const&) = delete;

    /// Starts an exchange and returns a handle to it for `cancel`. `on_end` is
    /// called exactly once unless the exchange is cancelled.
    std::shared_ptr<client_connection> start(exchange_request request);
    /// Cancels an exchange by closing its connection, without calling `on_end`.
    /// Does nothing if `exchange` is null.
    static void cancel(std::shared_ptr<client_connection> const& exchange);
    /// Opens a connection without sending a request, and keeps it if that
    /// succeeds. `on_end` is called exactly once, within `timeout`.
    void probe(milliseconds timeout, std::function<void(probe_result)> on_end);
    /// Whether there is an open connection that carries no exchange.
    [[nodiscard]] bool has_idle_connection() const;
    /// Closes all idle connections.
    void close_idle();

    [[nodiscard]] asio::ip::tcp::endpoint const& address() const
    {
        return address_;
    }
    /// Number of connections opened since construction.
    [[nodiscard]] std::uint64_t connections_opened() const
    {
        return connections_opened_;
    }

private:
    friend class client_connection;
    void put_back(std::shared_ptr<client_connection> const& connection);
    void remove(client_connection const* connection);
    // Returns an idle connection on which the request may be sent, or null.
    std::shared_ptr<client_connection>
    take_idle(exchange_request const& request);
    void schedule_prune();

    asio::io_context& context_;
    deadline_timers& timers_;
    asio::ip::tcp::endpoint address_;
    client_pool_options options_;
    // Ordered by last use; the most recently used connection is at the back.
    std::list<std::shared_ptr<client_connection>> idle_;
    std::uint64_t connections_opened_ = 0;
    bool prune_scheduled_ = false;
};

} // namespace pollenhall::sidecar
