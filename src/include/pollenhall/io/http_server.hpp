// cpp-httplib's server with its own connection handling. The library wakes the
// thread of each idle connection a hundred times a second and gives no access
// to the socket. Here a thread blocks until data arrives, idle connections can
// be closed, and a handler can detect that its caller has disconnected.

#pragma once

#include <pollenhall/ids.hpp>

#include <mutex>
#include <set>

#include <httplib.h>

namespace pollenhall
{

/// Maximum number of established connections that wait to be accepted. With the
/// library's default of 5, the kernel drops the connection attempts of a larger
/// burst, and clients repeat them only after seconds.
inline constexpr int listen_backlog = 4'096;

/// HTTP server. Set `new_task_queue` to create a `connection_queue`.
class http_server : public httplib::Server
{
public:
    /// Listens on an address and port; port 0 selects any free port. Returns
    /// the port, or -1 if it cannot be bound. `listen_after_bind` accepts
    /// connections; until then up to `listen_backlog` of them wait in the
    /// kernel.
    int bind(std::string const& address, int port);

    /// Closes the connections that wait for a request. The others are closed
    /// after their current response.
    void close_idle_connections();

    /// Sets the time after which a connection without a request is closed.
    void set_idle_timeout(milliseconds timeout) { idle_timeout_ = timeout; }

    /// Whether the caller whose request the current thread serves has closed
    /// its connection.
    static bool caller_disconnected();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool wait_for_request(httplib::Stream const& stream, socket_t socket);

    milliseconds idle_timeout_{60'000};
    std::mutex mutex_;
    bool closing_ = false;
    // Sockets of connections that wait for a request.
    std::set<socket_t> idle_;
};

} // namespace pollenhall
