// Implements `gossip_socket`.

#include <pollenhall/io/gossip_socket.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <asio/buffer.hpp>

namespace pollenhall
{

using asio::ip::udp;

gossip_socket::gossip_socket(asio::io_context& context, message_handler handler)
    : socket_(context), handler_(std::move(handler))
{
}

absl::Status gossip_socket::open(peer_endpoint const& listen)
{
    asio::error_code error;
    auto const address = asio::ip::make_address(listen.address, error);
    udp::endpoint const endpoint(address,
                                 static_cast<std::uint16_t>(listen.port));
    if (!error)
        socket_.open(endpoint.protocol(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (error)
        return absl::UnavailableError("cannot bind UDP " + listen.address +
                                      ":" + std::to_string(listen.port) + ": " +
                                      error.message());
    socket_.non_blocking(true, error);
    receive_next();
    return absl::OkStatus();
}

void gossip_socket::close()
{
    asio::error_code ignored;
    socket_.close(ignored);
}

void gossip_socket::receive_next()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](asio::error_code error, std::size_t size)
                               {
                                   if (!socket_.is_open())
                                       return;
                                   if (!error)
                                       handle_datagram(size);
                                   receive_next();
                               });
}

void gossip_socket::handle_datagram(std::size_t size)
{
    ++counters_.datagrams_received;
    counters_.bytes_received += size;
    auto const message = decode_gossip({buffer_.data(), size});
    peer_endpoint const from{.address = sender_.address().to_string(),
                             .port = sender_.port()};
    if (message.ok())
    {
        handler_(*message, from);
        return;
    }
    ++counters_.datagrams_refused;
    log_event("gossip_refused", log_level::warning)
        .add("from", from.address + ":" + std::to_string(from.port))
        .add("reason", std::string(message.status().message()));
}

void gossip_socket::send(std::vector<gossip_send> const& messages)
{
    for (auto const& item : messages)
    {
        asio::error_code error;
        auto const address = asio::ip::make_address(item.to.address, error);
        if (error)
            continue;
        auto const bytes = encode_gossip(item.message);
        udp::endpoint const to(address,
                               static_cast<std::uint16_t>(item.to.port));
        auto const size = socket_.send_to(asio::buffer(bytes), to, 0, error);
        if (error)
            continue;
        ++counters_.datagrams_sent;
        counters_.bytes_sent += size;
    }
}

} // namespace pollenhall
