// Many deadlines on one timer of the event loop.

#include "deadline_timers.hpp"

#include <pollenhall/io/clocks.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Deadlines within one step fire together, to save wake-ups.
constexpr microseconds step{10'000};

} // namespace

deadline_timers::deadline_timers(asio::io_context& context) : timer_(context) {}

deadline_timers::handle deadline_timers::at(mono_time time,
                                            std::function<void()> action)
{
    handle const which{.time = time, .number = ++last_number_};
    actions_.emplace(which, std::move(action));
    arm();
    return which;
}

deadline_timers::handle deadline_timers::after(milliseconds delay,
                                               std::function<void()> action)
{
    return at(mono_now() + delay, std::move(action));
}

void deadline_timers::cancel(handle& which)
{
    if (which.number != 0)
        actions_.erase(which);
    which = {};
}

void deadline_timers::arm()
{
    if (actions_.empty())
        return;
    auto const first = actions_.begin()->first.time;
    if (armed_ && armed_for_ <= first + step)
        return;
    armed_ = true;
    armed_for_ = first + step;
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
