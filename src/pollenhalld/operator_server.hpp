// Thrift server for the operators' RPCs, defined in `idl/operator.thrift`.

#pragma once

#include "control_plane.hpp"

#include <absl/status/status.h>

#include <memory>

namespace pollenhall
{

/// Serves operators on the operator port, with one thread for each connection.
/// The arguments of the constructor must outlive the object.
class operator_server
{
public:
    operator_server(node_settings const& settings, node_charts const& charts,
                    control_plane& control, view_holder const& view);
    ~operator_server();
    operator_server(operator_server const&) = delete;
    operator_server& operator=(operator_server const&) = delete;

    /// Starts the server thread. Returns Unavailable if the server cannot
    /// listen on the port.
    absl::Status start();
    /// Stops the server and joins its thread.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
