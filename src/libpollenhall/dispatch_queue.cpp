// Implements the dispatch queue of one upstream.

#include <pollenhall/dispatch_queue.hpp>

#include <pollenhall/name_table.hpp>

#include <algorithm>
#include <tuple>

namespace pollenhall
{
namespace
{

constexpr std::array<std::string_view, 14> refusal_names{
    "shed",        "queue_timeout",     "deadline",
    "draining",    "cancelled",         "quarantined",
    "no_upstream", "retries_exhausted", "home_unreachable",
    "key_refused", "stopping",          "upstream_refused",
    "home_gone",   "home_not_ready"};

// Weight of the newest sample in the moving average of service times.
constexpr double service_time_sample_weight = 0.1;
// A call is refused on arrival if less than this fraction of the average
// service time is left until its deadline. It is below 1 because service times
// vary, and some calls take less than the average.
constexpr double min_time_left_ratio = 0.5;

} // namespace

std::string_view to_string(refusal reason)
{
    return refusal_names.at(static_cast<std::size_t>(reason));
}

std::optional<refusal> parse_refusal(std::string_view name)
{
    return find_by_name<refusal>(refusal_names, name);
}

double wait_share(queued_call const& call, mono_time now)
{
    auto const whole = std::max(call.deadline - call.arrived, microseconds{1});
    return static_cast<double>((now - call.arrived).count()) /
           static_cast<double>(whole.count());
}

bool dispatch_queue::start_order::operator()(queued_call const& left,
                                             queued_call const& right) const
{
    return std::tie(right.rank, left.arrived, left.number) <
           std::tie(left.rank, right.arrived, right.number);
}

dispatch_queue::dispatch_queue(dispatch_options options)
    : options_(options), admission_(options.admission),
      limit_(options.concurrency)
{
}

std::optional<refusal> dispatch_queue::offer(queued_call const& call,
                                             mono_time now)
{
    admission_.tick(now);
    if (!accepting_)
        return refusal::draining;
    admission_.on_arrival(call.rank);
    auto const needed = microseconds(
        static_cast<std::int64_t>(service_time_us_ * min_time_left_ratio));
    if (now + needed >= call.deadline)
        return refusal::deadline;
    if (!admission_.admits(call.rank) || !make_room(call.rank))
        return refusal::shed;
    auto const position = waiting_.insert(call).first;
    by_number_[call.number] = position;
    ++waiting_by_member_[call.member];
    return std::nullopt;
}

bool dispatch_queue::make_room(request_rank rank)
{
    if (waiting_.size() < options_.max_queued)
        return true;
    auto const lowest = std::prev(waiting_.end());
    if (lowest->rank >= rank)
        return false;
    evicted_.push_back({.number = lowest->number, .reason = refusal::shed});
    remove(lowest);
    return true;
}

void dispatch_queue::remove(waiting_set::const_iterator position)
{
    by_number_.erase(position->number);
    auto const member = waiting_by_member_.find(position->member);
    if (--member->second == 0)
        waiting_by_member_.erase(member);
    waiting_.erase(position);
}

int dispatch_queue::running_count(member_name const& member) const
{
    auto const found = running_by_member_.find(member);
    return found == running_by_member_.end() ? 0 : found->second;
}

bool dispatch_queue::may_start(importance level) const
{
    auto const share = options_.class_share.at(static_cast<std::size_t>(level));
    auto const allowed =
        std::max(1, static_cast<int>(limit_.current() * share));
    return running() < allowed;
}

// Picks a call of the highest importance class that waits. Within that class
// the member with the fewest running calls goes first, so that one member
// cannot starve the others.
std::optional<dispatch_queue::waiting_set::const_iterator>
dispatch_queue::next_to_start() const
{
    if (waiting_.empty())
        return std::nullopt;
    auto best = waiting_.begin();
    auto const level = class_of(best->rank);
    if (!may_start(level))
        return std::nullopt;
    if (waiting_by_member_.size() < 2)
        return best;
    for (auto item = waiting_.begin();
         item != waiting_.end() && class_of(item->rank) == level; ++item)
    {
        if (running_count(item->member) < running_count(best->member))
            best = item;
    }
    return best;
}

std::vector<queued_call> dispatch_queue::take_startable(mono_time now)
{
    std::vector<queued_call> startable;
    while (auto const next = next_to_start())
    {
        queued_call call = **next;
        remove(*next);
        admission_.on_wait(wait_share(call, now));
        running_[call.number] = {.member = call.member, .started = now};
        ++running_by_member_[call.member];
        limit_.on_start(running());
        startable.push_back(std::move(call));
    }
    return startable;
}

std::vector<dropped_call> dispatch_queue::take_dropped(mono_time now)
{
    admission_.tick(now);
    std::vector<dropped_call> dropped;
    dropped.swap(evicted_);
    for (auto item = waiting_.begin(); item != waiting_.end();)
    {
        auto const current = item++;
        std::optional<refusal> reason;
        if (now >= current->deadline)
            reason = refusal::deadline;
        else if (wait_share(*current, now) >= options_.max_wait_share ||
                 now - current->arrived >= options_.max_wait)
            reason = refusal::queue_timeout;
        if (!reason)
            continue;
        admission_.on_wait(wait_share(*current, now));
        dropped.push_back({.number = current->number, .reason = *reason});
        remove(current);
    }
    return dropped;
}

void dispatch_queue::on_finished(call_number number, mono_time now,
                                 bool latency_counts)
{
    auto const found = running_.find(number);
    if (found == running_.end())
        return;
    auto const started = found->second.started;
    auto const member = running_by_member_.find(found->second.member);
    if (--member->second == 0)
        running_by_member_.erase(member);
    running_.erase(found);
    if (!latency_counts)
        return;
    auto const time = static_cast<double>((now - started).count());
    service_time_us_ += service_time_us_ == 0 ? time
                                              : (time - service_time_us_) *
                                                    service_time_sample_weight;
    limit_.on_completion(started, now);
    admission_.on_completion();
}

bool dispatch_queue::cancel(call_number number)
{
    auto const found = by_number_.find(number);
    if (found == by_number_.end())
        return false;
    remove(found->second);
    return true;
}

} // namespace pollenhall
