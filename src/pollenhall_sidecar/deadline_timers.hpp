// Multiplexes many deadlines onto one timer of the event loop. Every call sets
// and cancels deadlines, so these operations must not need a system call each.

#pragma once

#include <pollenhall/io/clocks.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace pollenhall::sidecar
{

/// Runs functions at or shortly after given times. Not thread-safe.
class deadline_timers
{
public:
    /// Identifies a deadline; a default-constructed handle identifies none.
    struct handle
    {
        mono_time time{};
        std::uint64_t number = 0;
        auto operator<=>(handle const&) const = default;
    };

    /// `clock` is replaced in tests.
    explicit deadline_timers(asio::io_context& context,
                             std::function<mono_time()> clock = mono_now);

    /// Runs `action` at `time`.
    handle at(mono_time time, std::function<void()> action);
    /// Runs `action` after `delay`.
    handle after(milliseconds delay, std::function<void()> action);
    /// Cancels a deadline and resets the handle. Does nothing if the deadline
    /// has already run or the handle identifies none.
    void cancel(handle& deadline);

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    std::function<mono_time()> clock_;
    std::map<handle, std::function<void()>> actions_;
    // Expiry of timer_; valid only while armed_.
    mono_time armed_for_{};
    bool armed_ = false;
    std::uint64_t last_number_ = 0;
};

} // namespace pollenhall::sidecar
