// Implements the admission threshold.

#include <pollenhall/admission.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{
// Share of the arrivals that is carried into the next window.
constexpr double arrivals_carried = 0.5;
} // namespace

admission_controller::admission_controller(admission_options options)
    : options_(options), step_(options.first_step)
{
}

void admission_controller::on_arrival(request_rank rank)
{
    auto const index = std::clamp(rank.value(), 0, rank_count - 1);
    arrivals_.at(static_cast<std::size_t>(index)) += 1;
}

void admission_controller::on_wait(double share)
{
    shortest_wait_ = has_wait_ ? std::min(shortest_wait_, share) : share;
    has_wait_ = true;
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
        has_wait_ && shortest_wait_ >= options_.target_wait_share;
    if (overloaded)
        raise_threshold();
    else
        lower_threshold();
    start_window(now);
}

void admission_controller::raise_threshold()
{
    step_ = options_.first_step;
    // Decaying sums settle at this multiple of one window's arrivals.
    constexpr double windows_in_sum = 1 / (1 - arrivals_carried);
    double room = completions_ * options_.drain_share * windows_in_sum;
    int lowest = rank_count;
    while (lowest > 0)
    {
        room -= arrivals_.at(static_cast<std::size_t>(lowest) - 1);
        if (room < 0)
            break;
        --lowest;
    }
    // One class at most in a window: a burst must not close everything.
    auto const highest = threshold_.value() + ranks_per_class;
    lowest = std::min({lowest, highest, rank_count - 1});
    threshold_ = std::max(threshold_, request_rank(lowest));
}

void admission_controller::lower_threshold()
{
    threshold_ = request_rank(std::max(0, threshold_.value() - step_));
    step_ = threshold_.value() == 0 ? options_.first_step
                                    : std::min(step_ * 2, rank_count);
}

void admission_controller::start_window(mono_time now)
{
    window_start_ = now;
    has_wait_ = false;
    completions_ = 0;
    for (auto& count : arrivals_)
        count *= arrivals_carried;
}

} // namespace pollenhall
