// One TCP connection between two nodes: writes frames in order, reads them
// one by one, and knows which calls wait for an answer on it.

#pragma once

#include <pollenhall/io/peer_links.hpp>

#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pollenhall
{

/// A connection, kept alive by its own pending operations.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct handlers
    {
        std::function<void(peer_connection&, wire::frame&&)> on_frame;
        std::function<void(peer_connection&)> on_closed;
    };

    peer_connection(asio::ip::tcp::socket socket, link_id id,
                    link_monitor_options monitor, link_counters& counters,
                    handlers callbacks);

    /// Begins to read and to write what is queued; the socket is connected.
    void start();
    /// Queues a frame; `call` is set if an answer is due.
    void send(std::string bytes, std::optional<correlation_id> call = {});
    /// Queues a call whose handler gets the answer.
    void send_call(std::string bytes, correlation_id id, call_handler handler);
    /// Hands an answer to its call; late ones are dropped.
    void settle(correlation_id id, call_result result);
    /// Forgets a call without calling its handler. Returns false if the call
    /// was not waiting here.
    bool forget(correlation_id id);
    /// Closes the connection and ends the calls that wait on it.
    void close();
    /// Sends a heartbeat or gives the connection up, if due. Returns false
    /// if it was given up.
    bool check(mono_time now);

    [[nodiscard]] link_id id() const { return id_; }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] bool is_idle_since(mono_time time) const
    {
        return waiting_.empty() && unsent_.empty() && last_use_ < time;
    }
    [[nodiscard]] std::size_t unsent() const { return unsent_.size(); }
    asio::ip::tcp::socket& socket() { return socket_; }

    /// Node at the other end, from its first frame; empty before.
    node_id peer;

private:
    struct queued_frame
    {
        std::string bytes;
        std::optional<correlation_id> call;
    };

    void read_header();
    void read_body(std::size_t size);
    void accept_body(std::string const& body);
    void refuse(std::string_view reason);
    void write_next();

    asio::ip::tcp::socket socket_;
    link_id id_;
    link_monitor monitor_;
    link_counters* counters_;
    handlers callbacks_;
    bool started_ = false;
    bool closed_ = false;
    bool writing_ = false;
    mono_time last_use_;
    std::array<char, 4> header_{};
    std::string body_;
    // The first element is being written while writing_ is set.
    std::deque<queued_frame> unsent_;
    std::map<correlation_id, call_handler> waiting_;
};

} // namespace pollenhall
