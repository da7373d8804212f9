// Implements the detection of requests that crash upstreams.

#include <pollenhall/crash_guard.hpp>

#include <algorithm>

namespace pollenhall
{

crash_guard::crash_guard(crash_guard_options options) : options_(options) {}

std::vector<crash_suspicion>
crash_guard::on_crash(crash_id crash, std::span<fingerprint const> in_flight,
                      mono_time now, bool confirmed)
{
    std::vector<fingerprint> candidates(in_flight.begin(), in_flight.end());
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](auto const content)
                          { return suspected_.contains(content); });
    auto const limit = confirmed ? options_.max_suspicions_per_crash
                                 : options_.max_suspicions_per_possible_crash;
    std::vector<crash_suspicion> new_suspicions;
    for (auto const content : candidates)
    {
        if (new_suspicions.size() >= limit)
            break;
        crash_suspicion const suspicion{.content = content,
                                        .crash = crash,
                                        .time_left =
                                            options_.suspicion_lifetime,
                                        .confirmed = confirmed};
        if (add(suspicion, now))
            new_suspicions.push_back(suspicion);
    }
    return new_suspicions;
}

bool crash_guard::add(crash_suspicion const& suspicion, mono_time now)
{
    expire(now);
    if (suspicion.time_left <= milliseconds{0} ||
        completed_recently(suspicion.content, now))
        return false;
    if (suspected_.size() >= options_.max_fingerprints &&
        !suspected_.contains(suspicion.content))
        return false;
    auto& known = suspected_[suspicion.content];
    if (now >= known.expires)
        known.crashes.clear();
    auto const held =
        std::min(suspicion.time_left, options_.suspicion_lifetime);
    known.expires = std::max(known.expires, now + held);
    auto const [item, is_new] =
        known.crashes.emplace(suspicion.crash, suspicion.confirmed);
    bool const newly_confirmed = suspicion.confirmed && !item->second;
    item->second = item->second || suspicion.confirmed;
    return is_new || newly_confirmed;
}

bool crash_guard::completed_recently(fingerprint content, mono_time now) const
{
    auto const found = completed_.find(content);
    return found != completed_.end() &&
           now - found->second < options_.completion_lifetime;
}

void crash_guard::on_completed(fingerprint content, mono_time now)
{
    suspected_.erase(content);
    if (!completed_.insert_or_assign(content, now).second)
        return;
    completed_order_.push_back(content);
    if (completed_order_.size() <= options_.max_fingerprints)
        return;
    completed_.erase(completed_order_.front());
    completed_order_.pop_front();
}

bool crash_guard::refuses(fingerprint content, std::size_t healthy_upstreams,
                          mono_time now)
{
    auto const found = suspected_.find(content);
    if (found == suspected_.end())
        return false;
    if (now >= found->second.expires)
    {
        suspected_.erase(found);
        return false;
    }
    auto const& crashes = found->second.crashes;
    auto const confirmed = static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(),
                      [](auto const& item) { return item.second; }));
    return confirmed >= options_.min_crashes_to_refuse ||
           crashes.size() >= options_.min_possible_crashes_to_refuse ||
           (confirmed > 0 && healthy_upstreams <= 1);
}

void crash_guard::expire(mono_time now)
{
    if (suspected_.size() < options_.max_fingerprints)
        return;
    std::erase_if(suspected_,
                  [&](auto const& item) { return now >= item.second.expires; });
}

} // namespace pollenhall
