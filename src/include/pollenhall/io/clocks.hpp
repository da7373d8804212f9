// Reads the system clocks. The decision library reads no clock; it receives
// times as arguments.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall
{

/// Monotonic time since an unspecified epoch.
inline mono_time mono_now()
{
    return mono_time(std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

/// Wall-clock time since the Unix epoch.
inline wall_time wall_now()
{
    return wall_time(std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace pollenhall
