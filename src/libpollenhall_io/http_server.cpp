// Implements the connection handling of `http_server`.

#include <pollenhall/io/http_server.hpp>

#include <algorithm>
#include <array>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollenhall
{
namespace
{

constexpr milliseconds read_timeout{5'000};
constexpr milliseconds write_timeout{5'000};
constexpr socket_t no_socket = -1;

// Socket of the connection that the current thread serves.
thread_local socket_t served_socket = no_socket;

// Waits for one of `events`. Returns the events that occurred; 0 on timeout.
short poll_socket(socket_t socket, short events, milliseconds timeout)
{
    pollfd item{.fd = socket, .events = events, .revents = 0};
    auto const count = poll(&item, 1, static_cast<int>(timeout.count()));
    return count > 0 ? item.revents : static_cast<short>(0);
}

/// Buffered reads and plain writes on a connected socket.
class socket_stream : public httplib::Stream
{
public:
    explicit socket_stream(socket_t socket) : socket_(socket) {}

    [[nodiscard]] bool has_buffered() const { return begin_ < end_; }

    [[nodiscard]] bool is_readable() const override
    {
        return has_buffered() ||
               (poll_socket(socket_, POLLIN, read_timeout) & POLLIN) != 0;
    }

    [[nodiscard]] bool is_writable() const override
    {
        return (poll_socket(socket_, POLLOUT, write_timeout) & POLLOUT) != 0;
    }

    ssize_t read(char* data, size_t size) override
    {
        if (!has_buffered())
        {
            if (!is_readable())
                return -1;
            // Large reads bypass the buffer.
            if (size >= buffer_.size())
                return recv(socket_, data, size, 0);
            auto const count = recv(socket_, buffer_.data(), buffer_.size(), 0);
            if (count <= 0)
                return count;
            begin_ = 0;
            end_ = static_cast<std::size_t>(count);
        }
        auto const count = std::min(size, end_ - begin_);
        std::memcpy(data, buffer_.data() + begin_, count);
        begin_ += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(char const* data, size_t size) override
    {
        if (!is_writable())
            return -1;
        return send(socket_, data, size, MSG_NOSIGNAL);
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        read_address(&getpeername, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        read_address(&getsockname, ip, port);
    }

    [[nodiscard]] socket_t socket() const override { return socket_; }

private:
    using address_function = int (*)(int, sockaddr*, socklen_t*);

    void read_address(address_function get_address, std::string& ip,
                      int& port) const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        if (get_address(socket_, reinterpret_cast<sockaddr*>(&address),
                        &size) != 0)
            return;
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        ip = text.data();
        port = ntohs(address.sin_port);
    }

    socket_t socket_;
    std::array<char, 4'096> buffer_{};
    // Range of received bytes in buffer_ that were not read yet.
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

} // namespace

int http_server::bind(std::string const& address, int port)
{
    int const bound = port == 0 ? bind_to_any_port(address)
                                : (bind_to_port(address, port) ? port : -1);
    if (bound < 0)
        return bound;
    // On a listening socket, listen() only changes the length of the backlog.
    if (::listen(svr_sock_, listen_backlog) != 0)
        return -1;
    return bound;
}

bool http_server::caller_disconnected()
{
    constexpr short gone = POLLRDHUP | POLLHUP | POLLERR;
    return served_socket != no_socket &&
           (poll_socket(served_socket, POLLRDHUP, milliseconds{0}) & gone) != 0;
}

bool http_server::wait_for_request(httplib::Stream const& stream,
                                   socket_t socket)
{
    {
        std::lock_guard const lock(mutex_);
        if (closing_)
            return false;
        idle_.insert(socket);
    }
    bool const ready =
        static_cast<socket_stream const&>(stream).has_buffered() ||
        (poll_socket(socket, POLLIN, idle_timeout_) & POLLIN) != 0;
    std::lock_guard const lock(mutex_);
    idle_.erase(socket);
    return ready;
}

bool http_server::process_and_close_socket(socket_t socket)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    socket_stream stream(socket);
    served_socket = socket;
    bool succeeded = true;
    bool closed = false;
    while (succeeded && !closed && wait_for_request(stream, socket))
        succeeded = process_request(stream, false, closed, nullptr);
    served_socket = no_socket;
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return succeeded;
}

void http_server::close_idle_connections()
{
    std::lock_guard const lock(mutex_);
    closing_ = true;
    for (auto const socket : idle_)
        shutdown(socket, SHUT_RD);
}

} // namespace pollenhall
