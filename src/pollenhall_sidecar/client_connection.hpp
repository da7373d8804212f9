// One kept connection of a `client_pool`.

#pragma once

#include "client_pool.hpp"

#include <array>

namespace pollenhall::sidecar
{

/// A connection that carries one exchange at a time. Used on one thread.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(asio::io_context& context, deadline_timers& timers,
                      std::weak_ptr<client_pool> pool,
                      client_pool_options const& options);

    void connect(asio::ip::tcp::endpoint const& address);
    void begin(exchange_request request);
    void cancel();
    void close();

    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] mono_time last_used() const { return last_used_; }
    /// Time until which the other side keeps the connection when idle.
    [[nodiscard]] mono_time kept_until() const { return kept_until_; }

private:
    void send();
    void write();
    void read();
    void on_read(std::error_code error, std::size_t size);
    void parse(std::string_view data);
    // `ends_cleanly`: no bytes follow the response.
    void on_response(bool ends_cleanly);
    void note_keep_alive(mesh::http_response const& response);
    void finish(exchange_result result, bool reusable);
    // For failures that are found while an exchange is being started.
    void finish_later(exchange_result result);

    asio::ip::tcp::socket socket_;
    deadline_timers& timers_;
    std::weak_ptr<client_pool> pool_;
    client_pool_options const options_;
    mesh::http_reader reader_;
    std::array<char, 4'096> buffer_{};
    exchange_request request_;
    std::size_t written_ = 0;
    deadline_timers::handle timeout_;
    mono_time last_used_{};
    mono_time kept_until_ = mono_time::max();
    bool connected_ = false;
    bool reading_ = false;
    bool busy_ = false;
    bool sent_ = false;
    bool closed_ = false;
};

} // namespace pollenhall::sidecar
