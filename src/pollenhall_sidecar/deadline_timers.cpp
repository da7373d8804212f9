// Implements deadlines that share one timer of the event loop.

#include "deadline_timers.hpp"

#include <pollenhall/io/clocks.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Deadlines within this interval run together, to reduce wake-ups. A deadline
// runs late by up to this time.
constexpr microseconds timer_resolution{10'000};

} // namespace

deadline_timers::deadline_timers(asio::io_context& context) : timer_(context) {}

deadline_timers::handle deadline_timers::at(mono_time time,
                                            std::function<void()> action)
{
    handle const deadline{.time = time, .number = ++last_number_};
    actions_.emplace(deadline, std::move(action));
    arm();
    return deadline;
}

deadline_timers::handle deadline_timers::after(milliseconds delay,
                                               std::function<void()> action)
{
    return at(mono_now() + delay, std::move(action));
}

void deadline_timers::cancel(handle& deadline)
{
    if (deadline.number != 0)
        actions_.erase(deadline);
    deadline = {};
}

void deadline_timers::arm()
{
    if (actions_.empty())
        return;
    auto const first = actions_.begin()->first.time;
    if (armed_ && armed_for_ <= first + timer_resolution)
        return;
    armed_ = true;
    armed_for_ = first + timer_resolution;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            armed_for_.time_since_epoch())));
    timer_.async_wait(
        [this](std::error_code error)
        {
            if (!error)
                run_due();
        });
}

void deadline_timers::run_due()
{
    armed_ = false;
    auto const now = mono_now();
    while (!actions_.empty() && actions_.begin()->first.time <= now)
    {
        auto const action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    arm();
}

} // namespace pollenhall::sidecar
