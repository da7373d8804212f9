// Connections between nodes: Thrift frames over TCP. Calls are multiplexed on
// a connection; a correlation id matches each answer to its call. Runs on the
// single thread of its io_context.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/io/calls.hpp>
#include <pollenhall/link_monitor.hpp>
#include <pollenhall/membership.hpp>

#include <peer_types.h>

#include <asio/io_context.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>

namespace pollenhall
{

/// Identifies a connection; unique on this node.
using link_id = strong_value<struct link_id_tag, std::uint64_t>;

/// Settings of `peer_links`.
struct peer_links_options
{
    /// Address and port to listen on.
    peer_endpoint listen;
    node_id node;
    boot_id boot;
    zone_name zone;
    link_monitor_options monitor{};
    milliseconds connect_timeout{500};
    /// Interval between liveness and idle checks of the connections.
    milliseconds check_interval{50};
    /// Time after which an idle outgoing connection is closed.
    milliseconds idle_timeout{60'000};
    /// Limit of open incoming connections; further ones are closed at once.
    std::size_t max_accepted_connections = 4'096;
};

/// Cumulative counters of a `peer_links`.
struct link_counters
{
    std::uint64_t frames_refused = 0;
    std::uint64_t silent_links = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Connections of one node to its peers.
class peer_links
{
public:
    /// Receives every frame except answers to calls. Respond with `reply`.
    using frame_handler = std::function<void(link_id, wire::frame&&)>;
    /// Called when an incoming connection is closed.
    using close_handler = std::function<void(link_id)>;
    /// Called when a peer's host refuses a connection, which means that no
    /// process listens at that endpoint.
    using refused_handler = std::function<void(peer_endpoint const&)>;

    struct handlers
    {
        frame_handler on_frame;
        close_handler on_closed;
        refused_handler on_refused;
    };

    peer_links(asio::io_context& context, peer_links_options options,
               handlers callbacks);
    ~peer_links();
    peer_links(peer_links const&) = delete;
    peer_links& operator=(peer_links const&) = delete;

    /// Starts to accept connections. Returns InvalidArgument for a malformed
    /// address and Unavailable if the port cannot be bound.
    absl::Status listen();
    /// Stops accepting and closes all connections, which ends pending calls.
    void close();

    /// Sends a call. The handler is called exactly once: with the answer, with
    /// a refusal if nothing was sent, or with the outcome `unknown` if the
    /// connection was lost. It is not called after `cancel`.
    correlation_id call(peer_endpoint const& to, forwarded_call const& call,
                        call_handler handler);
    /// Abandons a call and, if it was sent, notifies the peer.
    void cancel(peer_endpoint const& to, correlation_id id);

    /// Sends a frame without delivery guarantee, connecting first if necessary.
    void post(peer_endpoint const& to, wire::frame const& frame);
    /// Sends a frame on an open connection; drops it if that was closed.
    void reply(link_id link, wire::frame const& frame);
    /// Sends a frame on every incoming connection.
    void reply_to_all(wire::frame const& frame);

    /// Number of frames not yet written to incoming connections.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] link_counters const& counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
