// Settings of a node.

#pragma once

#include <pollenhall/mesh/attempt_policy.hpp>
#include <pollenhall/mesh/header_names.hpp>
#include <pollenhall/mesh/placement.hpp>
#include <pollenhall/mesh/vanished_hosts.hpp>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// How a node watches the store.
struct store_watch_options
{
    /// One watch waits between these times. Only a few nodes of a zone watch;
    /// spread, so that when connections go silent one of them notices soon.
    milliseconds least_time{3'000};
    milliseconds most_time{6'000};
    /// Pause between the events of one watch and the next watch. When many
    /// hosts start, their entries come in a few batches.
    milliseconds pause{300};
    /// Longest that a peer which watches the store lets a node wait for
    /// changes. Peers are asked in turn, so one that has fallen silent holds
    /// a change up for this long; a configuration must be in force within 2 s.
    milliseconds peer_time{700};

    bool operator==(store_watch_options const&) const = default;
};

/// What a node is told when it starts.
struct node_options
{
    node_id node;
    mesh::host_address host;
    zone_name zone;
    /// Service of the upstream on this host.
    service_name service;
    asio::ip::tcp::endpoint upstream;
    /// Callers on this host send their requests here.
    asio::ip::tcp::endpoint outbound;
    /// Peers send calls for the upstream here.
    asio::ip::tcp::endpoint gate;
    /// Peers ask here for changes of the store.
    asio::ip::tcp::endpoint peer_control;
    /// The platform asks here whether callers may be sent.
    asio::ip::tcp::endpoint readiness;
    /// The upstream sends its heartbeats here.
    asio::ip::tcp::endpoint control;
    asio::ip::tcp::endpoint store;
    mesh::header_names headers;
    mesh::retry_allowance_options retries;
    /// Memory beyond which the process is killed.
    std::size_t memory_bytes = std::size_t{256} * 1'024 * 1'024;
    /// Time from the request to stop until the process is killed.
    milliseconds stop_grace{6'000};
    store_watch_options watch{};
    mesh::vanished_host_options vanished{};

    bool operator==(node_options const&) const = default;
};

} // namespace pollenhall::sidecar
