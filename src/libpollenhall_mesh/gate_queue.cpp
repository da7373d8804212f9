// Implements the queue of calls in front of one upstream.

#include <pollenhall/mesh/gate_queue.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace pollenhall::mesh
{

std::string_view to_string(gate_rejection reason)
{
    constexpr std::array<std::string_view, 3> names{"overload", "waited_out",
                                                    "displaced"};
    return names.at(static_cast<std::size_t>(reason));
}

bool gate_queue::start_order::operator()(gate_request const& left,
                                         gate_request const& right) const
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    if (left.arrived != right.arrived)
        return left.arrived < right.arrived;
    return left.number < right.number;
}

gate_queue::gate_queue(gate_queue_options options) : options_(options) {}

void gate_queue::set_slots(int slots)
{
    limit_ = std::max(
        1, static_cast<int>(std::floor(slots * options_.usable_slot_fraction)));
}

double gate_queue::expected_wait_ms(std::size_t calls_ahead) const
{
    if (running_ < limit_)
        return 0;
    return static_cast<double>(calls_ahead + 1) * service_ms_ / limit_;
}

std::optional<gate_rejection> gate_queue::offer(gate_request const& request,
                                                mono_time now)
{
    auto const position = waiting_.lower_bound(request);
    auto const calls_ahead =
        static_cast<std::size_t>(std::distance(waiting_.begin(), position));
    double const wait = expected_wait_ms(calls_ahead);
    double const time_left =
        std::chrono::duration<double, std::milli>(request.deadline - now)
            .count();
    if (wait > static_cast<double>(request.max_wait.count()) ||
        wait >= time_left)
        return gate_rejection::overload;
    auto const max_waiting =
        static_cast<std::size_t>(options_.max_queue_ratio * limit_) + 1;
    if (waiting_.size() >= max_waiting)
    {
        if (position == waiting_.end())
            return gate_rejection::overload;
        auto const last = std::prev(waiting_.end());
        displaced_.push_back(
            {.number = last->number, .reason = gate_rejection::displaced});
        remove(last);
    }
    auto const [added, is_new] = waiting_.insert(request);
    if (is_new)
        by_number_.insert_or_assign(request.number, added);
    return std::nullopt;
}

std::vector<gate_request> gate_queue::take_startable()
{
    std::vector<gate_request> started;
    while (running_ < limit_ && !waiting_.empty())
    {
        auto const first = waiting_.begin();
        started.push_back(*first);
        remove(first);
        ++running_;
    }
    return started;
}

std::vector<gate_dropped_call> gate_queue::take_dropped(mono_time now)
{
    auto dropped = std::move(displaced_);
    displaced_.clear();
    for (auto item = waiting_.begin(); item != waiting_.end();)
    {
        auto const next = std::next(item);
        if (now - item->arrived >= item->max_wait || now >= item->deadline)
        {
            dropped.push_back(
                {.number = item->number, .reason = gate_rejection::waited_out});
            remove(item);
        }
        item = next;
    }
    return dropped;
}

bool gate_queue::cancel(gate_call_id number)
{
    auto const found = by_number_.find(number);
    if (found == by_number_.end())
        return false;
    remove(found->second);
    return true;
}

void gate_queue::remove(waiting_set::iterator position)
{
    by_number_.erase(position->number);
    waiting_.erase(position);
}

void gate_queue::on_finished(std::optional<microseconds> run_time, bool failed,
                             mono_time now)
{
    running_ = std::max(0, running_ - 1);
    if (!run_time)
        return;
    auto const age =
        std::chrono::duration<double, std::milli>(now - last_decay_).count();
    double const decay = std::exp2(
        -age / static_cast<double>(options_.failure_half_life.count()));
    last_decay_ = now;
    ended_calls_ = ended_calls_ * decay + 1;
    failed_calls_ = failed_calls_ * decay + (failed ? 1 : 0);
    if (!failed)
    {
        auto const ms =
            std::chrono::duration<double, std::milli>(*run_time).count();
        service_ms_ += (ms - service_ms_) * options_.service_time_weight;
    }
}

milliseconds gate_queue::expected_wait() const
{
    return milliseconds(static_cast<std::int64_t>(
        std::ceil(expected_wait_ms(waiting_.size()))));
}

upstream_load gate_queue::load(mono_time now) const
{
    auto const age =
        std::chrono::duration<double, std::milli>(now - last_decay_).count();
    double const decay = std::exp2(
        -age / static_cast<double>(options_.failure_half_life.count()));
    // Avoids a high failure fraction after few calls, such as 1 after a single
    // failed call.
    constexpr double min_ended_calls = 10;
    return {.limit = limit_,
            .running = running_,
            .queued = queued(),
            .failure_fraction = failed_calls_ * decay /
                                std::max(ended_calls_ * decay, min_ended_calls),
            .service_ms = service_ms_};
}

} // namespace pollenhall::mesh
