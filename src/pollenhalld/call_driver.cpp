// Implements driving one call through its tries.

#include "call_driver.hpp"

#include <variant>

namespace pollenhall
{
namespace
{

// Time after the deadline in which the node beside the upstream may still
// report the truth about the call.
constexpr milliseconds deadline_grace{10};

} // namespace

call_driver::call_driver(traffic_core& core, forwarded_call call,
                         call_plan_options options, retry_ratio& ratio,
                         try_sender sender, call_handler handler)
    : core_(core), call_(std::move(call)),
      plan_(options, retry_budget(call_.lent)), ratio_(ratio),
      sender_(std::move(sender)), handler_(std::move(handler)),
      wait_timer_(core.context), deadline_timer_(core.context)
{
}

void call_driver::start()
{
    ratio_.on_first_attempt();
    auto const left = call_.deadline + deadline_grace - mono_now();
    deadline_timer_.expires_after(left);
    deadline_timer_.async_wait(
        [self = shared_from_this()](asio::error_code error)
        {
            if (!error)
                self->cancel(refusal::deadline);
        });
    send(plan_.start().lent);
}

void call_driver::send(retry_count lent)
{
    call_.lent = lent;
    call_.attempt = plan_.attempts();
    try_pending_ = true;
    auto const number = ++current_try_;
    auto canceller =
        sender_(call_,
                [self = shared_from_this(), number](call_result result)
                {
                    if (number == self->current_try_ && self->try_pending_)
                        self->on_result(std::move(result));
                });
    if (!finished_ && try_pending_)
        cancel_try_ = std::move(canceller);
}

void call_driver::on_result(call_result result)
{
    try_pending_ = false;
    cancel_try_ = nullptr;
    call_attempt_result const ended{.what = result.what,
                                    .reason = result.reason,
                                    .worth_retry = result.upstream_failed,
                                    .returned = result.returned,
                                    .retry_after = result.retry_after};
    auto const step =
        plan_.next_step(ended, ratio_, mono_now(), core_.random());
    if (auto const* const pause = std::get_if<step_wait>(&step))
    {
        wait(pause->time);
        return;
    }
    finish(std::move(result));
}

void call_driver::wait(milliseconds time)
{
    wait_timer_.expires_after(time);
    wait_timer_.async_wait(
        [self = shared_from_this()](asio::error_code error)
        {
            if (!error && !self->finished_)
                self->send(self->plan_.resume().lent);
        });
}

void call_driver::cancel(refusal reason)
{
    if (finished_)
        return;
    // Dropping a try that still waits here ends the call with that result.
    auto const cancel_try = std::move(cancel_try_);
    cancel_try_ = nullptr;
    if (try_pending_ && cancel_try)
        cancel_try();
    if (finished_)
        return;
    // A try that is out may have run, and so may one before it.
    auto result = try_pending_ || plan_.may_have_run() ? make_unknown()
                                                       : make_refusal(reason);
    try_pending_ = false;
    finish(std::move(result));
}

void call_driver::finish(call_result result)
{
    finished_ = true;
    wait_timer_.cancel();
    deadline_timer_.cancel();
    // A refusal after a try that may have run is not the whole truth.
    if (result.what == outcome::not_run && plan_.may_have_run())
    {
        result.what = outcome::unknown;
        result.reason.reset();
    }
    result.returned = plan_.unspent();
    auto const handler = std::move(handler_);
    handler(std::move(result));
}

} // namespace pollenhall
