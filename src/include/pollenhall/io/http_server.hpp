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

/// The server. Set `new_task_queue` to a `connection_queue`.
class http_server : public httplib::Server
{
public:
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
