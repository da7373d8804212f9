// Implements the search for an upstream's concurrency.

#include <pollenhall/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall
{
namespace
{

// Factors of the limit on the varied side of a comparison.
constexpr double upward_factor = 1.25;
constexpr double downward_factor = 0.8;
// Latency that grows with less than the square root of the limit means that
// calls were not queueing.
constexpr double queueing_elasticity = 0.5;
constexpr double shed_factor = 0.95;
constexpr milliseconds shed_interval{100};

} // namespace

concurrency_limit::concurrency_limit(concurrency_options options)
    : options_(options),
      limit_(std::clamp(options.initial, options.min, options.max))
{
}

int concurrency_limit::varied_limit() const
{
    auto const factor = upward_ ? upward_factor : downward_factor;
    auto const varied =
        static_cast<int>(std::lround(static_cast<double>(limit_) * factor));
    auto const moved =
        upward_ ? std::max(varied, limit_ + 1) : std::min(varied, limit_ - 1);
    return std::clamp(moved, options_.min, options_.max);
}

int concurrency_limit::current() const
{
    return phase_ == phase_kind::varied ? varied_limit() : limit_;
}

void concurrency_limit::on_start(int running)
{
    saturated_ = saturated_ || running >= current();
}

double concurrency_limit::mean_latency() const
{
    return static_cast<double>(latency_sum_us_) / std::max(1, samples_);
}

void concurrency_limit::enter(phase_kind phase, mono_time now)
{
    phase_ = phase;
    phase_start_ = now;
    measured_from_.reset();
    saturated_ = false;
    samples_ = 0;
    latency_sum_us_ = 0;
}

void concurrency_limit::on_completion(mono_time started, mono_time now)
{
    if (phase_ == phase_kind::resting)
    {
        if (saturated_ && now >= phase_start_ + options_.pause)
            enter(phase_kind::base, now);
        return;
    }
    // A call from before the phase saw another limit, and so did the first
    // ones of the phase, until one of them has come back.
    if (!measured_from_ && started >= phase_start_)
        measured_from_ = now;
    if (!measured_from_ || started < *measured_from_)
        return;
    latency_sum_us_ += (now - started).count();
    ++samples_;
    if (samples_ < options_.samples || now < phase_start_ + options_.phase)
        return;
    if (!saturated_)
    {
        // The limit did not bind, so there is nothing to compare.
        enter(phase_kind::resting, now);
        return;
    }
    if (phase_ == phase_kind::base)
    {
        base_latency_us_ = mean_latency();
        enter(phase_kind::varied, now);
        return;
    }
    finish_comparison(now);
}

void concurrency_limit::finish_comparison(mono_time now)
{
    auto const varied = varied_limit();
    auto const ratio = static_cast<double>(varied) / limit_;
    bool changed = false;
    if (varied != limit_ && base_latency_us_ > 0)
    {
        auto const elasticity =
            std::log(mean_latency() / base_latency_us_) / std::log(ratio);
        bool const queueing = elasticity > queueing_elasticity;
        changed = upward_ ? !queueing : queueing;
    }
    if (changed)
        limit_ = varied;
    else
        upward_ = !upward_;
    // A change is followed up at once in the same direction.
    enter(changed ? phase_kind::base : phase_kind::resting, now);
}

void concurrency_limit::on_shed(mono_time now)
{
    if (now < last_shed_ + shed_interval)
        return;
    last_shed_ = now;
    limit_ = std::max(options_.min, static_cast<int>(limit_ * shed_factor));
    enter(phase_kind::resting, now);
}

} // namespace pollenhall
