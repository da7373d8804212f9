// HTTP client for the upstream that this node serves. An exchange blocks its
// thread; concurrent exchanges use separate keep-alive connections.

#pragma once

#include <pollenhall/io/calls.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace pollenhall
{

class upstream_connection;

/// Address at which the upstream listens.
struct upstream_endpoint
{
    /// IP address.
    std::string address;
    int port = 0;

    bool operator==(upstream_endpoint const&) const = default;
};

/// How an exchange ended.
struct exchange_result
{
    call_result result;
    /// Whether the connection broke and the upstream no longer listens.
    bool crashed = false;
    /// Whether the connection broke before a response was complete.
    bool broken = false;
    /// Whether no connection to the upstream could be established.
    bool unreachable = false;
};

/// Allows another thread to cancel an exchange.
class exchange_handle
{
public:
    /// Cancels the exchange, immediately or as soon as it starts.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

private:
    friend class upstream_client;

    mutable std::mutex mutex_;
    std::shared_ptr<upstream_connection> connection_;
    bool cancelled_ = false;
};

/// Pool of connections to one upstream. Thread-safe.
class upstream_client
{
public:
    explicit upstream_client(std::size_t max_idle_connections);
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    /// Sends `call` with the additional headers `extra` and waits for the whole
    /// response until the call's deadline. A call with an idempotency key gets
    /// a connection of its own: a faulty upstream may write the rejection of an
    /// earlier call once more on a kept connection, and a call that is taken
    /// for rejected although it runs would run twice.
    exchange_result exchange(upstream_endpoint const& endpoint,
                             forwarded_call const& call,
                             std::vector<http_header> const& extra,
                             exchange_handle& handle);

private:
    struct idle_connection
    {
        upstream_endpoint endpoint;
        std::shared_ptr<upstream_connection> connection;
    };

    // Returns an idle connection, or a new one; null if it cannot be opened.
    std::shared_ptr<upstream_connection>
    acquire_connection(upstream_endpoint const& endpoint, bool new_connection);
    void release_connection(upstream_endpoint const& endpoint,
                            std::shared_ptr<upstream_connection> connection);

    std::size_t max_idle_connections_;
    std::mutex mutex_;
    std::vector<idle_connection> idle_;
};

/// Whether a header applies to one hop only and must not be forwarded. The
/// comparison ignores case.
bool is_hop_by_hop(std::string_view name);

} // namespace pollenhall
