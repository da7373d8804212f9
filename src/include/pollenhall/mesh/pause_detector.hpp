// Detects that the process was held up: stopped by a signal, suspended with its
// host, or without processor time. Requests that arrived meanwhile wait in
// socket buffers, and the time that their callers allowed is partly over when
// they are read.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall::mesh
{

/// Settings of `pause_detector`.
struct pause_detector_options
{
    /// Interval at which `on_tick` is called.
    milliseconds tick_interval{200};
    /// Time without a tick that counts as a pause.
    milliseconds min_pause{600};
    /// Time after a pause in which what had arrived is read.
    milliseconds catch_up_time{100};
};

/// Estimates when a request arrived. Not thread-safe.
class pause_detector
{
public:
    pause_detector(pause_detector_options options, mono_time now);

    /// Returns the length of the pause that has just ended; zero if there was
    /// none.
    milliseconds on_tick(mono_time now);
    /// Returns the earliest time at which bytes that are read at `now` can have
    /// arrived: `now`, or the beginning of a pause.
    [[nodiscard]] mono_time earliest_arrival(mono_time now) const;

private:
    pause_detector_options options_;
    mono_time last_tick_;
    // Beginning of the last pause, and the end of the time to catch up.
    mono_time pause_began_{};
    mono_time caught_up_{};
};

} // namespace pollenhall::mesh
