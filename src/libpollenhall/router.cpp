// Implements load balancing over the upstreams of a service.

#include <pollenhall/router.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

// Weight of the newest sample in the moving average of latencies.
constexpr double latency_sample_weight = 0.1;
// Latency assumed until a call to any upstream has completed.
constexpr double default_latency_us = 1'000;
// Factor on the cost of an upstream that refused a call recently.
constexpr double refusal_penalty_factor = 4;
// Initial share of an upstream in slow start.
constexpr double min_slow_start_share = 0.1;

std::uint64_t next_random(std::uint64_t& state)
{
    // One step of splitmix64; the caller provides the seed.
    state += 0x9E3779B97F4A7C15U;
    auto mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    return mixed ^ (mixed >> 31U);
}

} // namespace

router::router(router_options options) : options_(std::move(options)) {}

bool router::sheds(target const& item, request_rank rank, mono_time now) const
{
    if (!item.has_hint || now > item.hint_time + options_.hint_lifetime)
        return false;
    return !item.hint.accepting || rank < item.hint.admitted_rank;
}

bool router::is_ejected(node_id const& node, mono_time now) const
{
    auto const found = targets_.find(node);
    return found != targets_.end() && now < found->second.ejected_until;
}

double router::mean_latency_us() const
{
    double sum = 0;
    int count = 0;
    for (auto const& [node, item] : targets_)
    {
        if (item.latency_us <= 0)
            continue;
        sum += item.latency_us;
        ++count;
    }
    return count == 0 ? default_latency_us : sum / count;
}

// Latency weighted with calls in flight, reported queue, recent refusals and
// slow start. The candidate with the lower cost is chosen.
double router::expected_cost(route_candidate const& candidate,
                             mono_time now) const
{
    auto const found = targets_.find(candidate.node);
    target const unknown;
    auto const& item = found == targets_.end() ? unknown : found->second;
    double latency = item.latency_us > 0 ? item.latency_us : mean_latency_us();
    if (candidate.zone != options_.own_zone)
        latency += static_cast<double>(options_.cross_zone_latency.count());
    double result = latency * (1 + item.in_flight);
    bool const hint_is_fresh =
        item.has_hint && now <= item.hint_time + options_.hint_lifetime;
    if (hint_is_fresh && item.hint.limit > 0)
        result *= 1 + static_cast<double>(item.hint.queued) / item.hint.limit;
    if (item.last_refusal != mono_time{} &&
        now < item.last_refusal + options_.refusal_penalty_time)
        result *= refusal_penalty_factor;
    if (candidate.warming_up && found != targets_.end())
    {
        auto const age = static_cast<double>((now - item.first_seen).count());
        auto const full =
            static_cast<double>(microseconds(options_.slow_start_time).count());
        result /= std::clamp(age / full, min_slow_start_share, 1.0);
    }
    return result;
}

route_choice router::choose(std::span<route_candidate const> candidates,
                            std::set<node_id> const& tried, request_rank rank,
                            mono_time now, std::uint64_t random)
{
    // Fallback candidates are ejected, suspected or were tried before. They are
    // used only if there is no other, since they are better than no upstream.
    std::vector<route_candidate const*> preferred;
    std::vector<route_candidate const*> fallback;
    for (auto const& candidate : candidates)
    {
        auto& item = targets_[candidate.node];
        if (item.first_seen == mono_time{})
            item.first_seen = now;
        if (sheds(item, rank, now))
            continue;
        bool const is_fallback = now < item.ejected_until ||
                                 candidate.suspected_dead ||
                                 tried.contains(candidate.node);
        auto& group = is_fallback ? fallback : preferred;
        group.push_back(&candidate);
    }
    auto const& pool = preferred.empty() ? fallback : preferred;
    if (pool.empty())
        return {.node = std::nullopt,
                .failure = candidates.empty() ? route_failure::no_candidate
                                              : route_failure::shed};
    // Power of two random choices.
    auto const* const first = pool[next_random(random) % pool.size()];
    auto const* const second = pool[next_random(random) % pool.size()];
    auto const* const better =
        expected_cost(*second, now) < expected_cost(*first, now) ? second
                                                                 : first;
    return {.node = better->node, .failure = {}};
}

void router::on_start(node_id const& node, mono_time now)
{
    auto& item = targets_[node];
    if (item.first_seen == mono_time{})
        item.first_seen = now;
    ++item.in_flight;
}

void router::on_finish(node_id const& node, mono_time now, microseconds latency,
                       route_result result)
{
    auto const found = targets_.find(node);
    if (found == targets_.end())
        return;
    auto& item = found->second;
    item.in_flight = std::max(0, item.in_flight - 1);
    switch (result)
    {
    case route_result::completed:
    {
        auto const sample = static_cast<double>(latency.count());
        item.latency_us += item.latency_us == 0 ? sample
                                                : (sample - item.latency_us) *
                                                      latency_sample_weight;
        item.consecutive_failures = 0;
        item.ejections = 0;
        break;
    }
    case route_result::refused:
        item.last_refusal = now;
        break;
    case route_result::failed:
        ++item.consecutive_failures;
        eject_if_allowed(item, now);
        break;
    case route_result::cancelled:
        break;
    }
}

void router::eject_if_allowed(target& item, mono_time now)
{
    if (item.consecutive_failures < options_.consecutive_failures_to_eject ||
        now < item.ejected_until)
        return;
    auto const ejected = std::count_if(
        targets_.begin(), targets_.end(),
        [&](auto const& entry) { return now < entry.second.ejected_until; });
    auto const allowed =
        options_.max_ejected_share * static_cast<double>(targets_.size());
    if (static_cast<double>(ejected + 1) > allowed)
        return;
    constexpr int max_doublings = 10;
    auto const time =
        std::min(options_.max_ejection_time,
                 options_.ejection_time *
                     (1 << std::min(item.ejections, max_doublings)));
    item.ejected_until = now + time;
    item.consecutive_failures = 0;
    ++item.ejections;
}

void router::on_hint(node_id const& node, load_hint const& hint, mono_time now)
{
    auto& item = targets_[node];
    item.hint = hint;
    item.hint_time = now;
    item.has_hint = true;
}

void router::retain(std::span<route_candidate const> candidates)
{
    std::set<node_id> kept;
    for (auto const& candidate : candidates)
        kept.insert(candidate.node);
    std::erase_if(
        targets_, [&](auto const& entry)
        { return !kept.contains(entry.first) && entry.second.in_flight == 0; });
}

request_rank
router::lowest_threshold(std::span<route_candidate const> candidates,
                         mono_time now) const
{
    request_rank lowest{rank_count};
    for (auto const& candidate : candidates)
    {
        auto const found = targets_.find(candidate.node);
        if (found == targets_.end() || !found->second.has_hint ||
            now > found->second.hint_time + options_.hint_lifetime)
            return request_rank(0);
        if (found->second.hint.accepting)
            lowest = std::min(lowest, found->second.hint.admitted_rank);
    }
    return lowest.value() == rank_count ? request_rank(0) : lowest;
}

} // namespace pollenhall
