// Exchanges HTTP requests with the upstream beside this node. An exchange
// blocks its thread; many run at once on connections that are kept open.

#pragma once

#include <pollenhall/io/calls.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace httplib
{
class Client;
}

namespace pollenhall
{

/// Where the upstream listens.
struct upstream_endpoint
{
    /// IP number.
    std::string address;
    int port = 0;

    bool operator==(upstream_endpoint const&) const = default;
};

/// How an exchange ended.
struct exchange_result
{
    call_result result;
    /// Whether the connection broke and the upstream listens no more.
    bool crashed = false;
    /// Whether the upstream could not be connected to.
    bool unreachable = false;
};

/// Lets another thread break off an exchange.
class exchange_handle
{
public:
    /// Breaks the exchange off, now or as soon as it begins.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

private:
    friend class upstream_client;

    mutable std::mutex mutex_;
    std::shared_ptr<httplib::Client> client_;
    bool cancelled_ = false;
};

/// Connections to one upstream. All functions may be called from any thread.
class upstream_client
{
public:
    explicit upstream_client(std::size_t max_idle);
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    /// Sends `call` with `extra` headers and waits for the whole answer, at
    /// most until the call's deadline.
    exchange_result exchange(upstream_endpoint const& endpoint,
                             forwarded_call const& call,
                             std::vector<http_header> const& extra,
                             exchange_handle& handle);

private:
    struct idle_connection
    {
        upstream_endpoint endpoint;
        std::shared_ptr<httplib::Client> client;
    };

    std::shared_ptr<httplib::Client> take(upstream_endpoint const& endpoint);
    void put_back(upstream_endpoint const& endpoint,
                  std::shared_ptr<httplib::Client> client);

    std::size_t max_idle_;
    std::mutex mutex_;
    std::vector<idle_connection> idle_;
};

/// Whether a header belongs to one connection only and is not passed on.
bool is_hop_by_hop(std::string_view name);

} // namespace pollenhall
