// Executes one call: sends its attempts, waits between them, enforces the
// deadline and reports one result. `call_plan` decides on the retries.

#pragma once

#include "traffic_core.hpp"

#include <pollenhall/call_plan.hpp>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace pollenhall
{

/// Cancels an attempt that was sent.
using attempt_canceller = std::function<void()>;

/// Sends one attempt and returns its canceller. The handler is called once, on
/// the traffic thread. If the attempt is cancelled first, the handler may be
/// left uncalled.
using attempt_sender =
    std::function<attempt_canceller(forwarded_call const&, call_handler)>;

/// One call in progress. Its pending timers and attempts keep it alive.
class call_driver : public std::enable_shared_from_this<call_driver>
{
public:
    /// `core` and `ratio` must outlive the driver.
    call_driver(traffic_core& core, forwarded_call call,
                call_plan_options options, retry_ratio& ratio,
                attempt_sender sender, call_handler handler);

    /// Sends the first attempt.
    void start();
    /// Ends the call. The handler gets a refusal with `reason`, or an unknown
    /// outcome if an attempt may have run.
    void cancel(refusal reason);

    /// Returns the number of attempts after the first.
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
    attempt_sender sender_;
    call_handler handler_;
    asio::steady_timer wait_timer_;
    asio::steady_timer deadline_timer_;
    attempt_canceller cancel_attempt_;
    // Number of the latest attempt; results of earlier ones are ignored.
    int current_attempt_ = 0;
    bool attempt_pending_ = false;
    bool finished_ = false;
};

} // namespace pollenhall
