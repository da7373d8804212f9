// One TCP connection between two nodes: writes queued frames, reads frames, and
// tracks the calls that wait for an answer on it.

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

/// A call that waits for its answer.
struct pending_call
{
    call_handler handler;
    /// Whether to keep waiting on a connection whose peer stopped responding.
    /// Set where only the answer can tell whether the call ran.
    bool wait_after_retirement = false;
};

/// State of a call at the time it was removed from a connection.
enum class removed_call
{
    not_found,
    /// No byte of it was sent.
    unsent,
    /// It was sent, at least in part.
    sent
};

/// A connection. Its pending asynchronous operations keep it alive.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct handlers
    {
        std::function<void(peer_connection&, wire::frame&&)> on_frame;
        std::function<void(peer_connection&)> on_closed;
        /// The peer stopped responding: the connection takes no new calls,
        /// but may still receive answers to earlier ones.
        std::function<void(peer_connection&)> on_retired;
    };

    peer_connection(asio::ip::tcp::socket socket, link_id id,
                    link_monitor_options monitor, link_counters& counters,
                    handlers callbacks);

    /// Starts to read and to write queued frames. Requires a connected socket.
    void start();
    /// Queues a frame that is not a call; it is sent ahead of queued calls.
    void send(std::string bytes);
    /// Queues a call; `call.handler` receives the result. The call is sent once
    /// the peer is known to respond. On a closed or retired connection the
    /// handler is called at once with the refusal `no_upstream`.
    void send_call(std::string bytes, correlation_id id, pending_call call);
    /// Passes an answer to the handler of its call; drops the answer if nobody
    /// waits for it any longer.
    void complete_call(correlation_id id, call_result result);
    /// Removes a call without calling its handler; a call that is still queued
    /// is not sent.
    removed_call remove_call(correlation_id id);
    /// Closes the connection and ends all its calls.
    void close();
    /// Sends a heartbeat, or retires the connection if the peer did not answer
    /// one in time. To be called periodically.
    void check(mono_time now);

    [[nodiscard]] link_id id() const { return id_; }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] bool is_idle_since(mono_time time) const
    {
        return waiting_.empty() && unsent() == 0 && last_use_ < time;
    }
    [[nodiscard]] std::size_t unsent() const
    {
        return unsent_.size() + unsent_calls_.size() + (writing_ ? 1 : 0);
    }
    asio::ip::tcp::socket& socket() { return socket_; }

    /// Node id of the peer; empty until its first frame arrives.
    node_id peer;

private:
    struct queued_frame
    {
        std::string bytes;
        std::optional<correlation_id> call;
    };

    void read_header();
    void read_body(std::size_t size);
    void handle_frame(std::string const& body);
    void reject_frame(std::string_view reason);
    void write_next();
    bool dequeue_frame();
    void end_calls(bool keep_waiting);
    void retire();
    void close_if_done();

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
    bool retired_ = false;
    // Frame being written while writing_ is set.
    queued_frame current_;
    std::deque<std::string> unsent_;
    std::map<correlation_id, std::string> unsent_calls_;
    std::map<correlation_id, pending_call> waiting_;
};

} // namespace pollenhall
