// Addresses for listeners of tests.

#pragma once

#include <atomic>
#include <cstdint>

#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar::testing
{

/// Returns an address on `host` that nothing listens on. Ports are below the
/// range from which the kernel takes those of outgoing connections, and none is
/// returned twice, so that the address is still free when a listener is opened
/// later.
inline asio::ip::tcp::endpoint free_address(char const* host = "127.0.0.1")
{
    constexpr unsigned first_port = 10'000;
    constexpr unsigned port_count = 22'000;
    // Processes with consecutive ids start at ports that are far apart.
    static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * 7'919};
    static asio::io_context context;
    for (;;)
    {
        asio::ip::tcp::endpoint address(
            asio::ip::make_address(host),
            static_cast<std::uint16_t>(first_port + next++ % port_count));
        asio::ip::tcp::acceptor probe(context);
        std::error_code error;
        probe.open(address.protocol(), error);
        probe.bind(address, error);
        if (!error)
            return address;
    }
}

} // namespace pollenhall::sidecar::testing
