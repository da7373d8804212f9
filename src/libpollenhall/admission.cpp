// Implements admission control by rank.

#include <pollenhall/admission.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{
// Factor applied to the arrival counts at the end of each window.
constexpr double arrivals_decay = 0.5;
} // namespace

admission_controller::admission_controller(admission_options options)
    : options_(options), decrease_step_(options.initial_decrease_step)
{
}

void admission_controller::on_arrival(request_rank rank)
{
    auto const index = std::clamp(rank.value(), 0, rank_count - 1);
    arrivals_.at(static_cast<std::size_t>(index)) += 1;
}

void admission_controller::on_wait(double share)
{
    min_wait_share_ =
        has_wait_sample_ ? std::min(min_wait_share_, share) : share;
    has_wait_sample_ = true;
}

void admission_controller::on_completion()
{
    ++completions_;
}

void admission_controller::tick(mono_time now)
{
    if (now < window_start_ + options_.window)
        return;
    bool const overloaded =
        has_wait_sample_ && min_wait_share_ >= options_.target_wait_share;
    if (overloaded)
        raise_threshold();
    else
        lower_threshold();
    start_window(now);
}

void admission_controller::raise_threshold()
{
    decrease_step_ = options_.initial_decrease_step;
    // Under a steady load the decaying sum of arrivals converges to this many
    // windows.
    constexpr double windows_in_sum = 1 / (1 - arrivals_decay);
    double capacity = completions_ * options_.admitted_ratio * windows_in_sum;
    int new_threshold = rank_count;
    while (new_threshold > 0)
    {
        capacity -= arrivals_.at(static_cast<std::size_t>(new_threshold) - 1);
        if (capacity < 0)
            break;
        --new_threshold;
    }
    // Raises by at most one importance class per window, so that a short burst
    // does not shut out all classes.
    auto const max_threshold = threshold_.value() + ranks_per_class;
    new_threshold = std::min({new_threshold, max_threshold, rank_count - 1});
    threshold_ = std::max(threshold_, request_rank(new_threshold));
}

void admission_controller::lower_threshold()
{
    threshold_ = request_rank(std::max(0, threshold_.value() - decrease_step_));
    decrease_step_ = threshold_.value() == 0
                         ? options_.initial_decrease_step
                         : std::min(decrease_step_ * 2, rank_count);
}

void admission_controller::start_window(mono_time now)
{
    window_start_ = now;
    has_wait_sample_ = false;
    completions_ = 0;
    for (auto& count : arrivals_)
        count *= arrivals_decay;
}

} // namespace pollenhall
