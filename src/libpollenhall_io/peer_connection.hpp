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

/// A call that waits for its answer.
struct pending_call
{
    call_handler handler;
    /// Whether to wait for the answer even on a connection that went silent,
    /// because no other way would tell whether the call ran.
    bool waits_in_silence = false;
};

/// What became of a call that is no longer waited for.
enum class forgotten_call
{
    not_here,
    /// It was not sent.
    taken_back,
    /// It was sent, at least in part.
    sent
};

/// A connection, kept alive by its own pending operations.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct handlers
    {
        std::function<void(peer_connection&, wire::frame&&)> on_frame;
        std::function<void(peer_connection&)> on_closed;
        /// Nothing new is to be sent on it; calls may wait for answers.
        std::function<void(peer_connection&)> on_retired;
    };

    peer_connection(asio::ip::tcp::socket socket, link_id id,
                    link_monitor_options monitor, link_counters& counters,
                    handlers callbacks);

    /// Begins to read and to write what is queued; the socket is connected.
    void start();
    /// Queues a frame that is no call; it goes before calls that wait.
    void send(std::string bytes);
    /// Queues a call whose handler gets the answer. It is sent once the peer
    /// is known to read.
    void send_call(std::string bytes, correlation_id id, pending_call call);
    /// Hands an answer to its call; late ones are dropped.
    void settle(correlation_id id, call_result result);
    /// Forgets a call without calling its handler, and takes it back if it
    /// was not sent yet.
    forgotten_call forget(correlation_id id);
    /// Closes the connection and ends the calls that wait on it.
    void close();
    /// Sends a heartbeat or gives the connection up, if due.
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
    bool take_next_frame();
    void end_calls(bool keep_patient);
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
    // What is being written while writing_ is set.
    queued_frame current_;
    std::deque<std::string> unsent_;
    std::map<correlation_id, std::string> unsent_calls_;
    std::map<correlation_id, pending_call> waiting_;
};

} // namespace pollenhall
