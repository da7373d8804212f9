// Adaptive concurrency limit: finds how many calls an upstream can run at once
// without queueing them internally. The declared number of slots is only the
// initial value. From time to time a probe varies the limit. If latency
// changes in proportion to the limit, calls queue inside the upstream and the
// limit is too high. A probe is compared only with the baseline measured just
// before it, so that a general change in the upstream's speed does not distort
// the result.

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
    /// Shortest duration of a baseline or probe phase.
    milliseconds min_phase_time{50};
    /// Completed calls that a baseline or probe phase needs.
    int min_samples = 32;
    /// Shortest idle time before a new baseline phase.
    milliseconds min_idle_time{500};
};

/// Concurrency limit of one upstream. Not thread-safe.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_options options = {});

    /// Returns how many calls may run now, including the change by a probe.
    [[nodiscard]] int current() const;
    /// Returns the limit without the change by a probe in progress.
    [[nodiscard]] int baseline_limit() const { return limit_; }

    /// Records the start of a call; `running` is the number of calls that run
    /// now, including this one.
    void on_start(int running);
    /// Records the completion of a call.
    void on_completion(mono_time started, mono_time now);
    /// Records that the upstream itself shed a call, and lowers the limit.
    void on_shed(mono_time now);

private:
    // A probe compares a limit above or below the current one with the
    // baseline, which is measured at the current limit.
    enum class probe_phase
    {
        idle,
        baseline,
        probe
    };

    void enter_phase(probe_phase phase, mono_time now);
    void finish_probe(mono_time now);
    [[nodiscard]] int probe_limit() const;
    [[nodiscard]] double mean_latency() const;

    concurrency_options options_;
    // Between options_.min and options_.max.
    int limit_;
    probe_phase phase_ = probe_phase::idle;
    mono_time phase_start_{};
    // Only calls started from here on are sampled. Empty until the number of
    // calls in flight has adapted to the limit of this phase.
    std::optional<mono_time> sampled_from_;
    // Whether the next probe raises or lowers the limit.
    bool probes_upward_ = true;
    // Whether the limit was reached in this phase.
    bool saturated_ = false;
    int samples_ = 0;
    std::int64_t latency_sum_us_ = 0;
    double baseline_latency_us_ = 0;
    mono_time last_shed_decrease_{};
};

} // namespace pollenhall
