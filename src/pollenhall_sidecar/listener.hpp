// Listens on one address and accepts server connections.

#pragma once

#include "server_connection.hpp"

#include <memory>
#include <set>
#include <vector>

#include <absl/status/status.h>

namespace pollenhall::sidecar
{

/// Listens on one address and serves its connections. Not thread-safe.
class listener
{
public:
    listener(asio::io_context& context, deadline_timers& timers,
             server_handlers handlers);

    /// Starts to listen on `address`. Returns an error if that fails.
    absl::Status open(asio::ip::tcp::endpoint const& address);
    /// Stops accepting connections; open ones are not affected.
    void stop_accepting();
    /// Whether no connection has a request that is being read or served, or a
    /// response that is being written.
    [[nodiscard]] bool is_idle() const;
    /// Closes each connection as soon as it is idle.
    void close_when_idle();

private:
    void accept();

    asio::io_context& context_;
    deadline_timers& timers_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    std::shared_ptr<server_handlers const> handlers_;
    // Expired entries are removed when the size reaches prune_threshold_, which
    // is then set to at least twice the remaining size.
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::size_t prune_threshold_ = 64;
};

} // namespace pollenhall::sidecar
