// HTTP server for callers and the local upstream: calls, announcements of the
// upstream, health and metrics. docs/http-contract.md describes the interface.

#pragma once

#include "control_plane.hpp"
#include "traffic_plane.hpp"

#include <absl/status/status.h>

#include <memory>

namespace pollenhall
{

/// HTTP server on the caller port.
class caller_server
{
public:
    caller_server(node_settings const& settings, traffic_plane& traffic,
                  control_plane& control, view_holder const& view);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Binds the port and starts to serve. Returns an error if the port cannot
    /// be bound.
    absl::Status start();
    /// Returns the number of requests whose answers are not written yet.
    [[nodiscard]] int open_requests() const;
    /// Stops accepting connections, closes idle ones, and returns when all
    /// requests in progress are answered.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
