// Tests that a burst of connections waits to be taken instead of being lost.

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

constexpr int burst = 500;

/// A connection that was asked for without waiting.
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
        // It goes on by itself; `is_established` tells how it ended.
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

TEST_CASE("connections that come in a burst")
{
    http_server server;
    int const port = server.bind("127.0.0.1", 0);
    REQUIRE(port > 0);

    SUBCASE("are all established before the server takes the first")
    {
        std::vector<pending_connection> connections;
        connections.reserve(burst);
        int established = 0;
        for (int i = 0; i < burst; ++i)
            established += connections.emplace_back(port).is_established();
        CHECK(established == burst);
    }
}
