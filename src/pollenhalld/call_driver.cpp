// Implements the execution of one call.

#include "call_driver.hpp"

#include <variant>

namespace pollenhall
{
namespace
{

// Time after the deadline in which the node beside the upstream may still
// report whether the call ran.
constexpr milliseconds deadline_grace{10};

} // namespace

call_driver::call_driver(traffic_core& core, forwarded_call call,
                         call_plan_options options, retry_ratio& ratio,
                         attempt_sender sender, call_handler handler)
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
    attempt_pending_ = true;
    auto const number = ++current_attempt_;
    auto canceller = sender_(
        call_,
        [self = shared_from_this(), number](call_result result)
        {
            if (number == self->current_attempt_ && self->attempt_pending_)
                self->on_result(std::move(result));
        });
    if (!finished_ && attempt_pending_)
        cancel_attempt_ = std::move(canceller);
}

void call_driver::on_result(call_result result)
{
    attempt_pending_ = false;
    cancel_attempt_ = nullptr;
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
            if (error || self->finished_)
                return;
            // The news of a crash may have arrived after the call. With 2
            // healthy upstreams only the number of crashes counts.
            if (self->core_.guard.refuses(self->call_.content, 2, mono_now()))
                return self->finish(make_refusal(refusal::quarantined));
            self->send(self->plan_.resume().lent);
        });
}

void call_driver::cancel(refusal reason)
{
    if (finished_)
        return;
    // Cancelling an attempt that is queued on this node calls `on_result`,
    // which ends the call.
    auto const cancel_attempt = std::move(cancel_attempt_);
    cancel_attempt_ = nullptr;
    if (attempt_pending_ && cancel_attempt)
        cancel_attempt();
    if (finished_)
        return;
    // The attempt without a result may have run, and so may an earlier one.
    auto result = attempt_pending_ || plan_.may_have_run()
                      ? make_unknown_result()
                      : make_refusal(reason);
    attempt_pending_ = false;
    finish(std::move(result));
}

void call_driver::finish(call_result result)
{
    finished_ = true;
    wait_timer_.cancel();
    deadline_timer_.cancel();
    // The last attempt did not run, but an earlier one may have.
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
