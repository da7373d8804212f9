// Finds a connection between nodes that went silent without being closed.
// Traffic on it proves that it works; while an answer is due and nothing
// arrives, a heartbeat asks, and if that stays unanswered too the connection
// is given up. A call is sent only while the peer is known to read: after
// its first frame, and not while a heartbeat is unanswered.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Settings of `link_monitor`.
struct link_monitor_options
{
    /// Silence, with answers due, after which a heartbeat is sent.
    milliseconds quiet{250};
    /// Wait for the heartbeat's answer.
    milliseconds patience{500};
};

/// What to do about a connection.
enum class link_action
{
    none,
    send_heartbeat,
    give_up
};

/// Watches one connection. Not thread-safe.
class link_monitor
{
public:
    explicit link_monitor(link_monitor_options options = {}) : options_(options)
    {
    }

    /// Notes that a frame that wants an answer was sent.
    void on_sent(mono_time now)
    {
        if (answers_due_++ == 0)
            quiet_since_ = now;
    }
    /// Notes that an answer is no longer waited for.
    void on_settled()
    {
        if (answers_due_ > 0)
            --answers_due_;
    }
    /// Notes that something arrived.
    void on_received(mono_time now)
    {
        quiet_since_ = now;
        heartbeat_sent_ = false;
        was_heard_ = true;
    }

    /// Whether the peer is known to read what is sent now.
    [[nodiscard]] bool may_send_calls() const
    {
        return was_heard_ && !heartbeat_sent_;
    }

    /// Decides what to do now; call it every few tens of milliseconds.
    link_action tick(mono_time now)
    {
        if (heartbeat_sent_)
            return now >= heartbeat_time_ + options_.patience
                       ? link_action::give_up
                       : link_action::none;
        if (answers_due_ == 0 || now < quiet_since_ + options_.quiet)
            return link_action::none;
        heartbeat_sent_ = true;
        heartbeat_time_ = now;
        return link_action::send_heartbeat;
    }

private:
    link_monitor_options options_;
    int answers_due_ = 0;
    mono_time quiet_since_{};
    bool was_heard_ = false;
    bool heartbeat_sent_ = false;
    mono_time heartbeat_time_{};
};

} // namespace pollenhall
