// Options of a sidecar node.

#pragma once

#include <pollenhall/mesh/attempt_policy.hpp>
#include <pollenhall/mesh/header_names.hpp>
#include <pollenhall/mesh/placement.hpp>
#include <pollenhall/mesh/vanished_hosts.hpp>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// Options for watching the store and peers.
struct store_watch_options
{
    /// Each watch waits for a random time in this range. Only a few nodes of a
    /// zone watch the store, and all of these may be cut off from it without a
    /// sign. The others must have a configuration within 2 s all the same, so
    /// the watches end early enough for them to turn to the store.
    milliseconds min_wait{500};
    milliseconds max_wait{800};
    /// Delay between a watch that returned events and the next watch, so that
    /// the entries of many starting hosts arrive in a few batches.
    milliseconds batch_delay{300};
    /// The same within `startup_time` after a node has found no hosts in the
    /// store. All nodes watch it until they know the relays of their zone, and
    /// the upstreams of a new fleet announce themselves over seconds.
    milliseconds startup_batch_delay{1'000};
    milliseconds startup_time{4'000};
    /// Wait of a long poll to a peer. Peers are polled in turn, so an
    /// unresponsive peer delays a change by this time; a configuration must be
    /// in force within 2 s.
    milliseconds max_peer_wait{700};

    bool operator==(store_watch_options const&) const = default;
};

/// Start options of a node.
struct node_options
{
    node_id node;
    mesh::host_address host;
    zone_name zone;
    /// Service of the upstream on this host.
    service_name service;
    asio::ip::tcp::endpoint upstream;
    /// Where the node listens for requests of callers on this host.
    asio::ip::tcp::endpoint outbound;
    /// Where the node listens for calls of peers to the upstream on this host.
    asio::ip::tcp::endpoint gate;
    /// Where the node listens for requests of peers for store changes.
    asio::ip::tcp::endpoint peer_control;
    /// Where the node listens for readiness checks of the platform.
    asio::ip::tcp::endpoint readiness;
    /// Where the node listens for heartbeats of the upstream.
    asio::ip::tcp::endpoint control;
    /// Address of the platform's key-value store.
    asio::ip::tcp::endpoint store;
    mesh::header_names headers;
    mesh::retry_allowance_options retries;
    /// Memory limit of the process; the platform kills it beyond this.
    std::size_t memory_limit_bytes = std::size_t{256} * 1'024 * 1'024;
    /// Time from the stop signal until the platform kills the process.
    milliseconds stop_grace{6'000};
    store_watch_options watch{};
    mesh::vanished_host_options vanished{};

    bool operator==(node_options const&) const = default;
};

} // namespace pollenhall::sidecar
