// Finds how many calls an upstream runs at once without queueing them. The
// declared slots are only where the search starts. The limit is varied a
// little now and then; if latency follows it in proportion, calls queue
// inside the upstream and the limit is too high. Only neighbouring moments
// are compared, so an upstream that gets slower or faster as a whole does not
// mislead the search.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>

namespace pollenhall
{

/// Settings of `concurrency_limit`.
struct concurrency_options
{
    int initial = 16;
    int min = 2;
    int max = 4'096;
    /// Shortest length of one side of a comparison.
    milliseconds phase{50};
    /// Calls that one side of a comparison needs.
    int samples = 32;
    /// Time between two comparisons that changed nothing.
    milliseconds pause{500};
};

/// Limit of one upstream. Not thread-safe.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_options options = {});

    /// Calls that may run now.
    [[nodiscard]] int current() const;
    /// The limit without the variation of a comparison under way.
    [[nodiscard]] int settled() const { return limit_; }

    /// Notes that a call was started as number `running` at once.
    void on_start(int running);
    /// Notes a call that completed.
    void on_completion(mono_time started, mono_time now);
    /// Notes that the upstream itself shed a call.
    void on_shed(mono_time now);

private:
    // What is being compared: the settled limit with one above or below.
    enum class phase_kind
    {
        resting,
        base,
        varied
    };

    void enter(phase_kind phase, mono_time now);
    void finish_comparison(mono_time now);
    [[nodiscard]] int varied_limit() const;
    [[nodiscard]] double mean_latency() const;

    concurrency_options options_;
    // Between options_.min and options_.max.
    int limit_;
    phase_kind phase_ = phase_kind::resting;
    mono_time phase_start_{};
    // Calls count from here on; empty until the calls in flight have come to
    // the phase's number.
    std::optional<mono_time> measured_from_;
    // Whether the next comparison looks above the limit or below it.
    bool upward_ = true;
    bool saturated_ = false;
    int samples_ = 0;
    std::int64_t latency_sum_us_ = 0;
    double base_latency_us_ = 0;
    mono_time last_shed_{};
};

} // namespace pollenhall
