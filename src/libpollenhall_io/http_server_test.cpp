// Tests that a burst of connections waits in the listen backlog. With a short
// backlog the kernel drops connection attempts that arrive before the server
// accepts, and clients repeat them only after seconds.

#include <pollenhall/io/http_server.hpp>

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

namespace
{

using namespace pollenhall;

constexpr int burst_connections = 500;

/// A connection that is opened without waiting for it to be established.
class pending_connection
{
public:
    explicit pending_connection(int port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        // The kernel completes the connection; `is_established` checks it.
        static_cast<void>(connect(
            socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    }
    pending_connection(pending_connection&& other) noexcept
        : socket_(std::exchange(other.socket_, -1))
    {
    }
    pending_connection(pending_connection const&) = delete;
    pending_connection& operator=(pending_connection const&) = delete;
    pending_connection& operator=(pending_connection&&) = delete;
    ~pending_connection()
    {
        if (socket_ >= 0)
            close(socket_);
    }

    [[nodiscard]] bool is_established() const
    {
        pollfd item{.fd = socket_, .events = POLLOUT, .revents = 0};
        return ::poll(&item, 1, 0) > 0 && item.revents == POLLOUT;
    }

private:
    int socket_;
};

} // namespace

TEST_CASE("a burst of connections")
{
    http_server server;
    int const port = server.bind("127.0.0.1", 0);
    REQUIRE(port > 0);

    SUBCASE("is established completely before the server accepts the first one")
    {
        std::vector<pending_connection> connections;
        connections.reserve(burst_connections);
        int established = 0;
        for (int i = 0; i < burst_connections; ++i)
            established += connections.emplace_back(port).is_established();
        CHECK(established == burst_connections);
    }
}
