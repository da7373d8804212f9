// Sends and receives gossip datagrams. Runs on the single thread of its
// io_context.

#pragma once

#include <pollenhall/membership.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <absl/status/status.h>

#include <array>
#include <cstdint>
#include <functional>

namespace pollenhall
{

/// Maximum size of an incoming datagram.
inline constexpr std::size_t max_datagram_bytes = 8'192;

/// Cumulative counters of a `gossip_socket`.
struct gossip_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t datagrams_refused = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// UDP socket of a node.
class gossip_socket
{
public:
    using message_handler =
        std::function<void(gossip_message const&, peer_endpoint const&)>;

    gossip_socket(asio::io_context& context, message_handler handler);

    /// Binds the port and starts to receive. Returns Unavailable on failure.
    absl::Status open(peer_endpoint const& listen);
    /// Stops receiving.
    void close();
    /// Sends all datagrams. Send errors are ignored, as gossip tolerates loss.
    void send(std::vector<gossip_send> const& messages);

    [[nodiscard]] gossip_counters const& counters() const { return counters_; }

private:
    void receive_next();
    void handle_datagram(std::size_t size);

    asio::ip::udp::socket socket_;
    message_handler handler_;
    asio::ip::udp::endpoint sender_;
    std::array<char, max_datagram_bytes> buffer_{};
    gossip_counters counters_;
};

} // namespace pollenhall
