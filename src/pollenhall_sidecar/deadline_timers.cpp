// Implements deadlines that share one timer of the event loop.

#include "deadline_timers.hpp"

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// Deadlines within this interval run together, to reduce wake-ups. A deadline
// runs late by up to this time.
constexpr microseconds timer_resolution{10'000};
// The event loop's timer does not count the time for which the host is
// suspended. It is set for at most this time, so that deadlines which have
// passed meanwhile run soon.
constexpr microseconds max_timer_delay{1'000'000};

} // namespace

deadline_timers::deadline_timers(asio::io_context& context,
                                 std::function<mono_time()> clock)
    : timer_(context), clock_(std::move(clock))
{
}

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
    return at(clock_() + delay, std::move(action));
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
    timer_.expires_after(std::min(max_timer_delay, armed_for_ - clock_()));
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
    auto const now = clock_();
    while (!actions_.empty() && actions_.begin()->first.time <= now)
    {
        auto const action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    arm();
}

} // namespace pollenhall::sidecar
