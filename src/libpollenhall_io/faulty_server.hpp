// Servers that misbehave on a connection, for tests of clients.

#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/socket_base.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace pollenhall::testing
{

/// A server that hands each connection to a test once its first bytes have
/// arrived.
class raw_server
{
public:
    using connection = std::shared_ptr<asio::ip::tcp::socket>;

    raw_server(asio::io_context& context, char const* host,
               std::function<void(connection const&)> on_request)
        : acceptor_(context, {asio::ip::make_address(host), 0}),
          on_request_(std::move(on_request))
    {
        accept();
    }

    [[nodiscard]] asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](std::error_code error, asio::ip::tcp::socket socket)
            {
                if (error)
                    return;
                auto const peer =
                    std::make_shared<asio::ip::tcp::socket>(std::move(socket));
                peer->async_read_some(
                    asio::buffer(request_),
                    [this, peer](std::error_code failed, std::size_t)
                    {
                        if (!failed)
                            on_request_(peer);
                    });
                accept();
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::function<void(connection const&)> on_request_;
    std::array<char, 4'096> request_{};
};

/// How a server ends a connection after its response.
enum class connection_end
{
    // Ends its side and reads on until the client closes as well.
    orderly,
    // Ends its side and closes the connection with bytes of the request unread,
    // so that a reset follows.
    orderly_then_reset,
    reset,
    // Keeps the connection open.
    none
};

/// A server that responds with given bytes as soon as a request arrives.
class faulty_server
{
public:
    explicit faulty_server(asio::io_context& context,
                           char const* host = "127.0.0.1")
        : timer_(context),
          server_(context, host,
                  [this](auto const& client) { respond(client); })
    {
    }

    std::string response;
    // If not empty, sent once this many bytes of the request were read.
    std::string later_response;
    std::size_t later_response_after = 0;
    connection_end end = connection_end::none;
    // Time between the response and the end of the connection.
    std::chrono::milliseconds end_delay{0};
    int requests = 0;

    [[nodiscard]] asio::ip::tcp::endpoint address() const
    {
        return server_.address();
    }

private:
    void respond(raw_server::connection const& client)
    {
        ++requests;
        std::error_code ignored; // the client may have left
        asio::write(*client, asio::buffer(response), ignored);
        open_.push_back(client);
        bytes_drained_ = 0;
        if (!later_response.empty())
            return drain(client);
        if (end_delay == std::chrono::milliseconds{0})
            return end_connection(client);
        timer_.expires_after(end_delay);
        timer_.async_wait(
            [this, client](std::error_code error)
            {
                if (!error)
                    end_connection(client);
            });
    }

    void end_connection(raw_server::connection const& client)
    {
        std::error_code ignored; // the client may have left
        switch (end)
        {
        case connection_end::orderly:
            client->shutdown(asio::socket_base::shutdown_send, ignored);
            return drain(client);
        case connection_end::orderly_then_reset:
            client->shutdown(asio::socket_base::shutdown_send, ignored);
            client->close(ignored);
            return;
        case connection_end::reset:
            client->set_option(asio::socket_base::linger(true, 0), ignored);
            client->close(ignored);
            return;
        case connection_end::none:
            return;
        }
    }

    // Unread bytes would turn the end of the connection into a reset.
    void drain(raw_server::connection const& client)
    {
        client->async_read_some(
            asio::buffer(drained_),
            [this, client](std::error_code error, std::size_t size)
            {
                if (error)
                    return;
                bool const was_due = bytes_drained_ >= later_response_after;
                bytes_drained_ += size;
                std::error_code ignored; // the client may have left
                if (!was_due && bytes_drained_ >= later_response_after)
                    asio::write(*client, asio::buffer(later_response), ignored);
                drain(client);
            });
    }

    std::array<char, 65'536> drained_{};
    std::size_t bytes_drained_ = 0;
    asio::steady_timer timer_;
    std::vector<raw_server::connection> open_;
    raw_server server_;
};

} // namespace pollenhall::testing
