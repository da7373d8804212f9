// Slots of one upstream and the calls that wait for them.

#include <pollenhall/mesh/gate_queue.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace pollenhall::mesh
{

std::string_view to_string(gate_refusal reason)
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
    limit_ =
        std::max(1, static_cast<int>(std::floor(slots * options_.slot_share)));
}

double gate_queue::wait_ms(std::size_t ahead) const
{
    if (running_ < limit_)
        return 0;
    return static_cast<double>(ahead + 1) * service_ms_ / limit_;
}

std::optional<gate_refusal> gate_queue::offer(gate_request const& request,
                                              mono_time now)
{
    auto const position = waiting_.lower_bound(request);
    auto const ahead =
        static_cast<std::size_t>(std::distance(waiting_.begin(), position));
    double const wait = wait_ms(ahead);
    double const left =
        std::chrono::duration<double, std::milli>(request.deadline - now)
            .count();
    if (wait > static_cast<double>(request.max_wait.count()) || wait >= left)
        return gate_refusal::overload;
    auto const most =
        static_cast<std::size_t>(options_.queue_share * limit_) + 1;
    if (waiting_.size() >= most)
    {
        if (position == waiting_.end())
            return gate_refusal::overload;
        auto const last = std::prev(waiting_.end());
        displaced_.push_back(
            {.number = last->number, .reason = gate_refusal::displaced});
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

std::vector<gate_drop> gate_queue::take_dropped(mono_time now)
{
    auto dropped = std::move(displaced_);
    displaced_.clear();
    for (auto item = waiting_.begin(); item != waiting_.end();)
    {
        auto const next = std::next(item);
        if (now - item->arrived >= item->max_wait || now >= item->deadline)
        {
            dropped.push_back(
                {.number = item->number, .reason = gate_refusal::waited_out});
            remove(item);
        }
        item = next;
    }
    return dropped;
}

bool gate_queue::cancel(gate_call number)
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

void gate_queue::on_finished(std::optional<microseconds> took, bool failed,
                             mono_time now)
{
    running_ = std::max(0, running_ - 1);
    if (!took)
        return;
    auto const age =
        std::chrono::duration<double, std::milli>(now - decayed_).count();
    double const decay = std::exp2(
        -age / static_cast<double>(options_.failure_half_life.count()));
    decayed_ = now;
    ended_ = ended_ * decay + 1;
    failed_ = failed_ * decay + (failed ? 1 : 0);
    if (!failed)
    {
        auto const ms =
            std::chrono::duration<double, std::milli>(*took).count();
        service_ms_ += (ms - service_ms_) * options_.service_time_weight;
    }
}

milliseconds gate_queue::expected_wait() const
{
    return milliseconds(
        static_cast<std::int64_t>(std::ceil(wait_ms(waiting_.size()))));
}

upstream_load gate_queue::load(mono_time now) const
{
    auto const age =
        std::chrono::duration<double, std::milli>(now - decayed_).count();
    double const decay = std::exp2(
        -age / static_cast<double>(options_.failure_half_life.count()));
    // A few calls say little: one failure of one call is not a share of 1.
    constexpr double least_ended = 10;
    return {.limit = limit_,
            .running = running_,
            .queued = queued(),
            .failing_share =
                failed_ * decay / std::max(ended_ * decay, least_ended),
            .service_ms = service_ms_};
}

} // namespace pollenhall::mesh
