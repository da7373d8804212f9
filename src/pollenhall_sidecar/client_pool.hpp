// HTTP exchanges with one address over kept connections. Serves the upstream,
// peers and the store alike.

#pragma once

#include "deadline_timers.hpp"

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
    answered,
    /// No connection came about; nothing was sent.
    not_connected,
    /// The connection ended, or what came is not an answer to the request.
    broken,
    timed_out
};

std::string_view to_string(exchange_end end);

/// Outcome of an exchange.
struct exchange_result
{
    exchange_end end = exchange_end::broken;
    // Only if answered.
    mesh::http_response response{};
    // System error or fault, for logs.
    std::string detail{};
};

/// A request and how long it may take.
struct exchange_request
{
    // As written by `write_request`.
    std::string bytes;
    bool head = false;
    mono_time deadline{};
    // Whether a connection may be used whose last use is long ago, so that
    // the other side may have dropped it.
    bool old_connection_allowed = true;
    // Says whether a response answers this request; null if each does. Others
    // are passed over: a faulty upstream sends an answer twice.
    std::function<bool(mesh::http_response const&)> matches{};
    std::function<void(exchange_result)> on_end;
};

/// Settings of `client_pool`.
struct client_pool_options
{
    milliseconds connect_timeout{1'000};
    /// Idle connections are closed after this time, before the other side
    /// does it.
    milliseconds idle_time{8'000};
    /// Age of the last use from which on a connection counts as old.
    milliseconds old_after{1'500};
    std::size_t max_idle = 512;
    mesh::http_reader_limits reader{};
};

class client_connection;

/// Connections to one address. Used on one thread.
class client_pool : public std::enable_shared_from_this<client_pool>
{
public:
    client_pool(asio::io_context& context, deadline_timers& timers,
                asio::ip::tcp::endpoint address, client_pool_options options);
    ~client_pool();
    client_pool(client_pool const&) = delete;
    client_pool& operator=(client_pool const&) = delete;

    /// Starts an exchange; `on_end` is called once, unless it is cancelled.
    /// The result names it for `cancel`.
    std::shared_ptr<client_connection> start(exchange_request request);
    /// Ends an exchange by closing its connection, without calling `on_end`.
    static void cancel(std::shared_ptr<client_connection> const& exchange);
    /// Closes all idle connections.
    void close_idle();

    [[nodiscard]] asio::ip::tcp::endpoint const& address() const
    {
        return address_;
    }
    /// Connections opened since the start.
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    friend class client_connection;
    void put_back(std::shared_ptr<client_connection> const& connection);
    void remove(client_connection const* connection);
    std::shared_ptr<client_connection> take_idle(bool old_allowed);
    void schedule_prune();

    asio::io_context& context_;
    deadline_timers& timers_;
    asio::ip::tcp::endpoint address_;
    client_pool_options options_;
    // The one used last is at the back.
    std::list<std::shared_ptr<client_connection>> idle_;
    std::uint64_t opened_ = 0;
    bool prune_scheduled_ = false;
};

} // namespace pollenhall::sidecar
