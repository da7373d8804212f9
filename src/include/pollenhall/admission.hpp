// Admission by rank: finds the lowest rank that an upstream can serve now.
// While requests wait too long the threshold rises so far that what is left
// fits the rate of completions; once they do not, it falls in growing steps
// to zero. Nothing else keeps it up, so it cannot stay raised.

#pragma once

#include <pollenhall/request_rank.hpp>

#include <array>

namespace pollenhall
{

/// Settings of `admission_controller`.
struct admission_options
{
    /// Length of one round of measurement.
    milliseconds window{50};
    /// A window counts as overloaded if each call in it waited for at least
    /// this share of its time from arrival to deadline.
    double target_wait_share = 0.1;
    /// Share of the completion rate that is admitted under overload.
    double drain_share = 0.9;
    /// First step down after overload, in ranks; doubles each calm window.
    int first_step = 4;
};

/// Threshold of one upstream. Not thread-safe.
class admission_controller
{
public:
    explicit admission_controller(admission_options options = {});

    /// The lowest rank that is admitted.
    [[nodiscard]] request_rank threshold() const { return threshold_; }
    [[nodiscard]] bool admits(request_rank rank) const
    {
        return rank >= threshold_;
    }

    /// Counts a request that arrived, admitted or not.
    void on_arrival(request_rank rank);
    /// Notes how long a request waited before it started or was given up, as
    /// a share of its time from arrival to deadline.
    void on_wait(double share);
    /// Counts a request that the upstream completed.
    void on_completion();
    /// Closes the window if it is over; call it often.
    void tick(mono_time now);

private:
    void raise_threshold();
    void lower_threshold();
    void start_window(mono_time now);

    admission_options options_;
    request_rank threshold_{0};
    int step_;
    mono_time window_start_{};
    bool has_wait_ = false;
    double shortest_wait_ = 0;
    int completions_ = 0;
    // Arrivals by rank, decayed from window to window against noise.
    std::array<double, rank_count> arrivals_{};
};

} // namespace pollenhall
