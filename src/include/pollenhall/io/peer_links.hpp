// Connections between nodes: Thrift frames over TCP, many calls on one
// connection at once, each answer tied to its call. Runs on one thread, that
// of its io_context.

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

/// Number of a connection on this node.
using link_id = strong_value<struct link_id_tag, std::uint64_t>;

/// Settings of `peer_links`.
struct peer_links_options
{
    /// Address and port to accept peers on.
    peer_endpoint listen;
    node_id node;
    boot_id boot;
    zone_name zone;
    link_monitor_options monitor{};
    /// Time for a connection to be set up.
    milliseconds connect_timeout{500};
    /// Time between two checks of the connections.
    milliseconds check_period{50};
    /// Time after which an unused connection is closed.
    milliseconds idle_timeout{60'000};
    /// Most connections that are accepted.
    std::size_t max_accepted = 4'096;
};

/// Counts since the start.
struct link_counters
{
    std::uint64_t frames_refused = 0;
    std::uint64_t links_gone_silent = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// All connections of one node.
class peer_links
{
public:
    /// Receives every frame that is no answer to a call. Reply with `reply`.
    using frame_handler = std::function<void(link_id, wire::frame&&)>;
    /// Told when a connection that carried requests from a peer is closed.
    using close_handler = std::function<void(link_id)>;
    /// Told when a peer's host refused a connection, so that no process
    /// listens at that endpoint.
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

    /// Starts to accept peers; an error if the port cannot be bound.
    absl::Status listen();
    /// Stops accepting and closes all connections; pending calls end.
    void close();

    /// Sends a call. The handler is called once: with the answer, with a
    /// refusal if nothing was sent, or with `unknown` if the connection was
    /// lost. It is not called after `cancel`.
    correlation_id call(peer_endpoint const& to, forwarded_call const& call,
                        call_handler handler);
    /// Gives a call up and tells the peer.
    void cancel(peer_endpoint const& to, correlation_id id);

    /// Sends a frame, connecting if need be; it may be lost.
    void post(peer_endpoint const& to, wire::frame const& frame);
    /// Sends a frame on the connection that another one came from.
    void reply(link_id link, wire::frame const& frame);
    /// Sends a frame on every connection that a peer opened to this node.
    void reply_to_all(wire::frame const& frame);

    /// Frames that still have to be written.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] link_counters const& counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
