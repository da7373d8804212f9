// Accepts connections at one address.

#pragma once

#include "server_connection.hpp"

#include <memory>
#include <set>
#include <vector>

#include <absl/status/status.h>

namespace pollenhall::sidecar
{

/// Listens at one address and serves its connections. Used on one thread.
class listener
{
public:
    listener(asio::io_context& context, deadline_timers& timers,
             server_handlers handlers);

    /// Opens the address.
    absl::Status open(asio::ip::tcp::endpoint const& address);
    /// Takes no more connections.
    void stop_accepting();
    /// Ends each connection as soon as it is idle.
    void close_idle();

private:
    void accept();

    asio::io_context& context_;
    deadline_timers& timers_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::shared_ptr<server_handlers const> handlers_;
    // Pruned of ended ones when it has doubled.
    std::vector<std::weak_ptr<server_connection>> open_;
    std::size_t prune_at_ = 64;
};

} // namespace pollenhall::sidecar
