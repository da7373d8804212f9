// Compares the times of ticks.

#include <pollenhall/mesh/pause_detector.hpp>

namespace pollenhall::mesh
{

pause_detector::pause_detector(pause_detector_options options, mono_time now)
    : options_(options), last_tick_(now)
{
}

milliseconds pause_detector::on_tick(mono_time now)
{
    auto const since_tick = now - last_tick_;
    auto const pause_began = last_tick_;
    last_tick_ = now;
    if (since_tick < options_.min_pause)
        return milliseconds{0};
    pause_began_ = pause_began;
    caught_up_ = now + options_.catch_up_time;
    return std::chrono::duration_cast<milliseconds>(since_tick);
}

mono_time pause_detector::earliest_arrival(mono_time now) const
{
    // The tick that ends a pause may run after the first reads.
    if (now - last_tick_ >= options_.min_pause)
        return last_tick_;
    return now < caught_up_ ? pause_began_ : now;
}

} // namespace pollenhall::mesh
