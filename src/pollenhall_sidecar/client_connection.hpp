// One keep-alive connection of a `client_pool`.

#pragma once

#include "client_pool.hpp"

#include <array>
#include <string>
#include <vector>

namespace pollenhall::sidecar
{

/// An HTTP connection that carries one exchange at a time. Not thread-safe.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(asio::io_context& context, deadline_timers& timers,
                      std::weak_ptr<client_pool> pool,
                      client_pool_options const& options);

    /// Connects to `address` and then sends the request that was set by
    /// `start_exchange`.
    void connect(asio::ip::tcp::endpoint const& address);
    /// Sends a request, or stores it until the connection is established.
    void start_exchange(exchange_request request);
    /// Closes the connection without calling the request's `on_end`.
    void cancel();
    /// Closes the connection and removes it from the pool.
    void close();

    [[nodiscard]] bool is_closed() const { return closed_; }
    /// Whether the request with this id was rejected on this connection.
    [[nodiscard]] bool has_rejected(std::string const& id) const;
    [[nodiscard]] mono_time last_used() const { return last_used_; }
    /// Time until which the connection may be reused, according to the server's
    /// Keep-Alive header; unlimited if there is none.
    [[nodiscard]] mono_time keep_alive_until() const
    {
        return keep_alive_until_;
    }

private:
    void send();
    // Writes the beginning of the request, and then the rest of it whenever the
    // connection accepts more.
    void write();
    void write_rest();
    // Writes what the connection accepts at once, which may be nothing.
    void write_some(std::error_code& error);
    void read();
    void on_read(std::error_code error, std::size_t size);
    void parse(std::string_view data);
    // `ends_cleanly`: no further bytes were received after the response.
    void on_response(bool ends_cleanly);
    void update_keep_alive(mesh::http_response const& response);
    void finish(exchange_result result, bool reusable);
    // Posts `finish` to the event loop. Used for errors during the start of an
    // exchange, so that `on_end` is not called before the start returns.
    void post_finish(exchange_result result);

    asio::ip::tcp::socket socket_;
    deadline_timers& timers_;
    std::weak_ptr<client_pool> pool_;
    client_pool_options const options_;
    mesh::http_reader reader_;
    // The charge covers the response body that was read so far.
    mesh::byte_budget::charge memory_charge_;
    // Responses to the current request that were skipped.
    int skipped_responses_ = 0;
    std::array<char, 4'096> buffer_{};
    exchange_request request_;
    std::size_t bytes_written_ = 0;
    // Set if writing the request failed because the connection broke before the
    // server had ended its side.
    std::error_code write_error_;
    // Ids of the requests that were rejected on this connection; bounded,
    // because it is closed when there are too many.
    std::vector<std::string> rejected_ids_;
    deadline_timers::handle timeout_;
    mono_time last_used_{};
    mono_time keep_alive_until_ = mono_time::max();
    bool connected_ = false;
    bool reading_ = false;
    bool busy_ = false;
    bool request_sent_ = false;
    bool closed_ = false;
};

} // namespace pollenhall::sidecar
