// Detects connections between nodes that are dead without having been closed.
// If an answer is pending and nothing arrives for some time, a heartbeat is
// sent; if nothing arrives after that either, the connection is given up. Calls
// are sent only while the peer is known to read: after its first frame, and not
// while a heartbeat is unanswered.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Settings of `link_monitor`.
struct link_monitor_options
{
    /// Time without a received frame, while answers are pending, after which a
    /// heartbeat is sent.
    milliseconds heartbeat_delay{250};
    /// Time after the heartbeat in which a frame must arrive.
    milliseconds heartbeat_timeout{500};
};

/// Action to take on a connection.
enum class link_action
{
    none,
    send_heartbeat,
    give_up
};

/// Monitors one connection. Not thread-safe.
class link_monitor
{
public:
    explicit link_monitor(link_monitor_options options = {}) : options_(options)
    {
    }

    /// Records that a frame that expects an answer was sent.
    void on_sent(mono_time now)
    {
        if (pending_answers_++ == 0)
            silent_since_ = now;
    }
    /// Records that an answer arrived or is no longer expected.
    void on_settled()
    {
        if (pending_answers_ > 0)
            --pending_answers_;
    }
    /// Records that data arrived.
    void on_received(mono_time now)
    {
        silent_since_ = now;
        heartbeat_pending_ = false;
        has_received_ = true;
    }

    /// Returns whether the peer is known to read what is sent.
    [[nodiscard]] bool may_send_calls() const
    {
        return has_received_ && !heartbeat_pending_;
    }

    /// Returns the action to take now. To be called every few tens of
    /// milliseconds.
    link_action tick(mono_time now)
    {
        if (heartbeat_pending_)
            return now >= heartbeat_sent_at_ + options_.heartbeat_timeout
                       ? link_action::give_up
                       : link_action::none;
        if (pending_answers_ == 0 ||
            now < silent_since_ + options_.heartbeat_delay)
            return link_action::none;
        heartbeat_pending_ = true;
        heartbeat_sent_at_ = now;
        return link_action::send_heartbeat;
    }

private:
    link_monitor_options options_;
    int pending_answers_ = 0;
    mono_time silent_since_{};
    bool has_received_ = false;
    bool heartbeat_pending_ = false;
    mono_time heartbeat_sent_at_{};
};

} // namespace pollenhall
