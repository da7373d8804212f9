// Admission control by rank: finds the lowest rank that an upstream can serve
// now. While requests wait too long, the threshold rises until the arrivals
// above it fit the completion rate. As soon as they no longer wait too long, it
// falls to zero in steps that double. No other state holds it up, so it cannot
// stay raised after an overload.

#pragma once

#include <pollenhall/request_rank.hpp>

#include <array>

namespace pollenhall
{

/// Settings of `admission_controller`.
struct admission_options
{
    /// Length of a measurement window.
    milliseconds window{50};
    /// A window is overloaded if each request in it waited for at least this
    /// fraction of the time from its arrival to its deadline.
    double target_wait_share = 0.1;
    /// Fraction of the completion rate that is admitted under overload; below 1
    /// so that the queue drains.
    double admitted_ratio = 0.9;
    /// First decrease of the threshold after an overload, in ranks. It doubles
    /// with each further window that is not overloaded.
    int initial_decrease_step = 4;
};

/// Admission threshold of one upstream. Not thread-safe.
class admission_controller
{
public:
    explicit admission_controller(admission_options options = {});

    /// Returns the lowest rank that is admitted.
    [[nodiscard]] request_rank threshold() const { return threshold_; }
    [[nodiscard]] bool admits(request_rank rank) const
    {
        return rank >= threshold_;
    }

    /// Counts an arriving request, whether it is admitted or not.
    void on_arrival(request_rank rank);
    /// Records how long a request waited before it started or was dropped, as
    /// a fraction of the time from its arrival to its deadline.
    void on_wait(double share);
    /// Counts a request that the upstream completed.
    void on_completion();
    /// Ends the window and adjusts the threshold if the window's time is over.
    /// To be called several times per window.
    void tick(mono_time now);

private:
    void raise_threshold();
    void lower_threshold();
    void start_window(mono_time now);

    admission_options options_;
    request_rank threshold_{0};
    int decrease_step_;
    mono_time window_start_{};
    bool has_wait_sample_ = false;
    double min_wait_share_ = 0;
    int completions_ = 0;
    // Arrivals by rank, as a sum that decays with each window to reduce noise.
    std::array<double, rank_count> arrivals_{};
};

} // namespace pollenhall
