// Implements the adaptive concurrency limit.

#include <pollenhall/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall
{
namespace
{

// Factors by which a probe changes the limit.
constexpr double probe_up_factor = 1.25;
constexpr double probe_down_factor = 0.8;
// Calls are taken to queue inside the upstream if latency grows faster than the
// square root of the limit, that is, if its elasticity is above 0.5.
constexpr double queueing_elasticity_threshold = 0.5;
// Decrease of the limit when the upstream sheds a call, at most once per
// interval.
constexpr double shed_decrease_factor = 0.95;
constexpr milliseconds shed_decrease_interval{100};

} // namespace

concurrency_limit::concurrency_limit(concurrency_options options)
    : options_(options),
      limit_(std::clamp(options.initial, options.min, options.max))
{
}

int concurrency_limit::probe_limit() const
{
    auto const factor = probes_upward_ ? probe_up_factor : probe_down_factor;
    auto const varied =
        static_cast<int>(std::lround(static_cast<double>(limit_) * factor));
    auto const distinct = probes_upward_ ? std::max(varied, limit_ + 1)
                                         : std::min(varied, limit_ - 1);
    return std::clamp(distinct, options_.min, options_.max);
}

int concurrency_limit::current() const
{
    return phase_ == probe_phase::probe ? probe_limit() : limit_;
}

void concurrency_limit::on_start(int running)
{
    saturated_ = saturated_ || running >= current();
}

double concurrency_limit::mean_latency() const
{
    return static_cast<double>(latency_sum_us_) / std::max(1, samples_);
}

void concurrency_limit::enter_phase(probe_phase phase, mono_time now)
{
    phase_ = phase;
    phase_start_ = now;
    sampled_from_.reset();
    saturated_ = false;
    samples_ = 0;
    latency_sum_us_ = 0;
}

void concurrency_limit::on_completion(mono_time started, mono_time now)
{
    if (phase_ == probe_phase::idle)
    {
        if (saturated_ && now >= phase_start_ + options_.min_idle_time)
            enter_phase(probe_phase::baseline, now);
        return;
    }
    // Calls started before this phase ran under another limit. So did the first
    // calls of the phase, until one of them has completed.
    if (!sampled_from_ && started >= phase_start_)
        sampled_from_ = now;
    if (!sampled_from_ || started < *sampled_from_)
        return;
    latency_sum_us_ += (now - started).count();
    ++samples_;
    if (samples_ < options_.min_samples ||
        now < phase_start_ + options_.min_phase_time)
        return;
    if (!saturated_)
    {
        // The limit was not reached in this phase, so latency does not depend
        // on it and a probe would measure nothing.
        enter_phase(probe_phase::idle, now);
        return;
    }
    if (phase_ == probe_phase::baseline)
    {
        baseline_latency_us_ = mean_latency();
        enter_phase(probe_phase::probe, now);
        return;
    }
    finish_probe(now);
}

void concurrency_limit::finish_probe(mono_time now)
{
    auto const varied = probe_limit();
    auto const ratio = static_cast<double>(varied) / limit_;
    bool changed = false;
    if (varied != limit_ && baseline_latency_us_ > 0)
    {
        auto const elasticity =
            std::log(mean_latency() / baseline_latency_us_) / std::log(ratio);
        bool const queueing = elasticity > queueing_elasticity_threshold;
        changed = probes_upward_ ? !queueing : queueing;
    }
    if (changed)
        limit_ = varied;
    else
        probes_upward_ = !probes_upward_;
    // After a change, the next probe follows at once in the same direction.
    enter_phase(changed ? probe_phase::baseline : probe_phase::idle, now);
}

void concurrency_limit::on_shed(mono_time now)
{
    if (now < last_shed_decrease_ + shed_decrease_interval)
        return;
    last_shed_decrease_ = now;
    limit_ =
        std::max(options_.min, static_cast<int>(limit_ * shed_decrease_factor));
    enter_phase(probe_phase::idle, now);
}

} // namespace pollenhall
