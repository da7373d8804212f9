// Reads the system clocks. The decision library reads no clock; it receives
// times as arguments.

#pragma once

#include <pollenhall/ids.hpp>

#include <ctime>

namespace pollenhall
{

/// Monotonic time since an unspecified epoch. Unlike the steady clock, it
/// includes the time for which the host was suspended: deadlines and leases
/// pass meanwhile.
inline mono_time mono_now()
{
    timespec now{};
    // Fails only for an unknown clock; Linux has this one since 2.6.39.
    static_cast<void>(clock_gettime(CLOCK_BOOTTIME, &now));
    return mono_time(std::chrono::duration_cast<microseconds>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

/// Wall-clock time since the Unix epoch.
inline wall_time wall_now()
{
    return wall_time(std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace pollenhall
