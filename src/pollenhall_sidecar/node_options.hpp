// Settings of a node.

#pragma once

#include <pollenhall/mesh/attempt_policy.hpp>
#include <pollenhall/mesh/header_names.hpp>
#include <pollenhall/mesh/placement.hpp>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// How a node watches the store.
struct store_watch_options
{
    /// One watch waits between these times. Long, since each is paid for;
    /// spread, so that when connections go silent some node of the fleet
    /// notices soon and the others hear of a new configuration from its
    /// answers.
    milliseconds least_time{4'000};
    milliseconds most_time{12'000};
    /// Pause between the events of one watch and the next watch. When many
    /// hosts start, their entries come in a few batches.
    milliseconds pause{300};

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
    /// The platform asks here whether callers may be sent.
    asio::ip::tcp::endpoint readiness;
    /// The upstream sends its heartbeats here.
    asio::ip::tcp::endpoint control;
    asio::ip::tcp::endpoint store;
    mesh::header_names headers;
    mesh::retry_allowance_options retries;
    /// Time from the request to stop until the process is killed.
    milliseconds stop_grace{6'000};
    store_watch_options watch{};

    bool operator==(node_options const&) const = default;
};

} // namespace pollenhall::sidecar
