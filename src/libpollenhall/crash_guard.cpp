// Implements the detection of requests that crash upstreams.

#include <pollenhall/crash_guard.hpp>

#include <algorithm>

namespace pollenhall
{

crash_guard::crash_guard(crash_guard_options options) : options_(options) {}

std::vector<crash_suspicion>
crash_guard::on_crash(crash_id crash, std::span<fingerprint const> in_flight,
                      mono_time now)
{
    std::vector<crash_suspicion> new_suspicions;
    for (auto const content : in_flight)
    {
        if (new_suspicions.size() >= options_.max_suspicions_per_crash)
            break;
        if (completed_.contains(content))
            continue;
        crash_suspicion const suspicion{.content = content,
                                        .crash = crash,
                                        .time_left =
                                            options_.suspicion_lifetime};
        if (add(suspicion, now))
            new_suspicions.push_back(suspicion);
    }
    return new_suspicions;
}

bool crash_guard::add(crash_suspicion const& suspicion, mono_time now)
{
    expire(now);
    if (suspected_.size() >= options_.max_fingerprints &&
        !suspected_.contains(suspicion.content))
        return false;
    auto& known = suspected_[suspicion.content];
    auto const held =
        std::min(suspicion.time_left, options_.suspicion_lifetime);
    known.expires = std::max(known.expires, now + held);
    return known.crashes.insert(suspicion.crash).second;
}

void crash_guard::on_completed(fingerprint content)
{
    suspected_.erase(content);
    if (!completed_.insert(content).second)
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
    return found->second.crashes.size() >= options_.min_crashes_to_refuse ||
           healthy_upstreams <= 1;
}

void crash_guard::expire(mono_time now)
{
    if (suspected_.size() < options_.max_fingerprints)
        return;
    std::erase_if(suspected_,
                  [&](auto const& item) { return now >= item.second.expires; });
}

} // namespace pollenhall
