// Drives one call through its tries: sends it, waits between tries, keeps the
// deadline, and hands out one result. The decisions are those of `call_plan`.

#pragma once

#include "traffic_core.hpp"

#include <pollenhall/call_plan.hpp>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace pollenhall
{

/// Gives up a try that was sent.
using try_canceller = std::function<void()>;

/// Sends one try and notes in the call where it went; the handler is called
/// once on the traffic thread, unless the returned canceller is called before.
using try_sender =
    std::function<try_canceller(forwarded_call const&, call_handler)>;

/// One call in progress. Lives as long as its timers and tries.
class call_driver : public std::enable_shared_from_this<call_driver>
{
public:
    /// `ratio` must outlive the driver.
    call_driver(traffic_core& core, forwarded_call call,
                call_plan_options options, retry_ratio& ratio,
                try_sender sender, call_handler handler);

    /// Sends the first try.
    void start();
    /// Ends the call; the handler is called with what is known.
    void cancel(refusal reason);

    /// Tries beyond the first.
    [[nodiscard]] int retries() const { return plan_.attempts() - 1; }

private:
    void send(retry_count lent);
    void on_result(call_result result);
    void wait(milliseconds time);
    void finish(call_result result);

    traffic_core& core_;
    forwarded_call call_;
    call_plan plan_;
    retry_ratio& ratio_;
    try_sender sender_;
    call_handler handler_;
    asio::steady_timer wait_timer_;
    asio::steady_timer deadline_timer_;
    try_canceller cancel_try_;
    // Counts the tries, so that a late result is known as such.
    int current_try_ = 0;
    bool try_pending_ = false;
    bool finished_ = false;
};

} // namespace pollenhall
