// cpp-httplib's server with its own care for connections. The library wakes
// each idle connection's thread a hundred times a second and gives no access
// to the socket; here a thread sleeps until something arrives, idle
// connections can be closed, and a handler can see that its caller has gone.

#pragma once

#include <pollenhall/ids.hpp>

#include <mutex>
#include <set>

#include <httplib.h>

namespace pollenhall
{

/// Connections that may wait to be taken. The library's own queue holds five:
/// a burst beyond it is dropped by the kernel and tried again only after
/// seconds.
inline constexpr int listen_backlog = 4'096;

/// The server. Set `new_task_queue` to a `connection_queue`.
class http_server : public httplib::Server
{
public:
    /// Listens at an address and port; port 0 takes any free one. Returns the
    /// port, or -1 if the port cannot be had. Connections are taken once
    /// `listen_after_bind` runs; until then they wait in a queue that holds a
    /// burst of `listen_backlog`.
    int bind(std::string const& address, int port);

    /// Closes the connections that wait for a request and lets the others end
    /// after their answer.
    void close_idle_connections();

    /// Time for which a connection may wait for its next request.
    void set_idle_timeout(milliseconds timeout) { idle_timeout_ = timeout; }

    /// Whether the caller whose request the calling thread serves has closed
    /// its connection.
    static bool caller_has_gone();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool wait_for_request(httplib::Stream const& stream, socket_t socket);

    milliseconds idle_timeout_{60'000};
    std::mutex mutex_;
    bool closing_ = false;
    // Sockets whose threads wait for a request.
    std::set<socket_t> idle_;
};

} // namespace pollenhall
