// Serves the operators' remote procedure calls of `idl/operator.thrift`.

#pragma once

#include "control_plane.hpp"

#include <absl/status/status.h>

#include <memory>

namespace pollenhall
{

/// The server.
class operator_server
{
public:
    operator_server(node_settings const& settings, node_charts const& charts,
                    control_plane& control, view_holder const& view);
    ~operator_server();
    operator_server(operator_server const&) = delete;
    operator_server& operator=(operator_server const&) = delete;

    /// Binds the port and starts to serve.
    absl::Status start();
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
