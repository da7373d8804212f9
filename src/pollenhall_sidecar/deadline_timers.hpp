// Many deadlines on one timer of the event loop. Calls set and cancel a
// deadline each, so these must cost no system call.

#pragma once

#include <pollenhall/ids.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace pollenhall::sidecar
{

/// Runs functions at or shortly after set times. Used on one thread.
class deadline_timers
{
public:
    /// Names a deadline that was set; a default one names none.
    struct handle
    {
        mono_time time{};
        std::uint64_t number = 0;
        auto operator<=>(handle const&) const = default;
    };

    explicit deadline_timers(asio::io_context& context);

    handle at(mono_time time, std::function<void()> action);
    handle after(milliseconds delay, std::function<void()> action);
    /// Forgets a deadline; one that has passed or none is ignored.
    void cancel(handle& which);

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    std::map<handle, std::function<void()>> actions_;
    // When the timer fires; only valid while armed_.
    mono_time armed_for_{};
    bool armed_ = false;
    std::uint64_t last_number_ = 0;
};

} // namespace pollenhall::sidecar
