// Computes the cost of upstreams from utilisation, zone, service time and
// failures, and chooses the lowest.

#include <pollenhall/hashing.hpp>
#include <pollenhall/mesh/placement.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall::mesh
{
namespace
{

// Largest random addition to a cost, in utilisation. It spreads calls over
// upstreams of nearly equal cost.
constexpr double max_jitter = 0.02;

} // namespace

crash_id crash_id_of(host_address const& host,
                     incarnation_id const& incarnation,
                     std::optional<wall_time> started)
{
    auto const start_ms = std::chrono::duration_cast<milliseconds>(
                              started.value_or(wall_time{}).time_since_epoch())
                              .count();
    return crash_id(
        combine_hashes(hash_text(host.value()),
                       combine_hashes(hash_text(incarnation.value()),
                                      static_cast<std::uint64_t>(start_ms))));
}

placement::placement(placement_options options) : options_(std::move(options))
{
}

void placement::set_hosts(std::vector<host_entry> const& hosts, mono_time now)
{
    std::map<host_address, upstream_view> views;
    by_service_.clear();
    for (auto const& entry : hosts)
    {
        upstream_view view;
        auto const old = views_.find(entry.host);
        if (old != views_.end() && old->second.entry == entry)
            view = old->second;
        else
        {
            if (old != views_.end())
            {
                view.outstanding = old->second.outstanding;
                if (old->second.entry.incarnation == entry.incarnation)
                    view.load.service_ms = old->second.load.service_ms;
            }
            view.entry = entry;
            view.load.limit = std::max(entry.slots, 1);
            view.cold_until = now + entry.cold_remaining;
        }
        by_service_[entry.service].push_back(entry.host);
        views.insert_or_assign(entry.host, std::move(view));
    }
    views_ = std::move(views);
}

double placement::utilisation(upstream_view const& view, mono_time now) const
{
    double others = 0;
    if (view.has_load)
    {
        auto const age =
            std::chrono::duration<double, std::milli>(now - view.load_time)
                .count();
        double const reported =
            view.load.running + view.load.queued - view.outstanding_at_report;
        others = std::max(0.0, reported) *
                 std::exp2(-age / static_cast<double>(
                                      options_.load_half_life.count()));
    }
    return (others + view.outstanding) / std::max(view.load.limit, 1);
}

double placement::cost(upstream_view const& view, placement_need const& need,
                       mono_time now) const
{
    auto total = utilisation(view, now);
    if (view.entry.zone != options_.own_zone)
        total += options_.zone_penalty;
    if (now < view.cold_until)
        total += options_.cold_penalty;
    if (view.entry.stopping)
        total += options_.stopping_penalty;
    if (!view.has_load)
        return total;
    auto const time_ratio = std::min(
        1.0, view.load.service_ms /
                 std::max(1.0, static_cast<double>(need.useful_time.count())));
    total += (need.retryable ? options_.time_penalty
                             : options_.single_attempt_time_penalty) *
             time_ratio * time_ratio;
    // A report of failures decays with its age, so that an upstream without
    // calls is tried again.
    auto const age_s =
        std::chrono::duration<double>(now - view.load_time).count();
    return total + options_.failure_penalty * view.load.failure_fraction *
                       std::exp2(-age_s);
}

bool placement::usable(upstream_view const& view, mono_time now) const
{
    return view.entry.ready && now >= view.paused_until;
}

host_entry const* placement::choose(placement_need const& need,
                                    std::vector<host_address> const& excluded,
                                    std::uint64_t random, mono_time now) const
{
    auto const found = by_service_.find(need.service);
    if (found == by_service_.end())
        return nullptr;
    if (excluded.empty())
        return choose_among(need, found->second, random, now);
    auto candidates = found->second;
    std::erase_if(candidates,
                  [&](auto const& host)
                  {
                      return std::find(excluded.begin(), excluded.end(),
                                       host) != excluded.end();
                  });
    return choose_among(need, candidates, random, now);
}

host_entry const*
placement::choose_among(placement_need const& need,
                        std::vector<host_address> const& candidates,
                        std::uint64_t random, mono_time now) const
{
    host_entry const* best = nullptr;
    double best_cost = 0;
    for (auto const& host : candidates)
    {
        auto const found = views_.find(host);
        if (found == views_.end() || !usable(found->second, now))
            continue;
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        double const jitter =
            max_jitter * static_cast<double>(random >> 40) / (1 << 24);
        double const candidate_cost = cost(found->second, need, now) + jitter;
        if (best == nullptr || candidate_cost < best_cost)
        {
            best = &found->second.entry;
            best_cost = candidate_cost;
        }
    }
    return best;
}

placement::upstream_view* placement::find(host_address const& host)
{
    auto const found = views_.find(host);
    return found == views_.end() ? nullptr : &found->second;
}

void placement::on_sent(host_address const& host)
{
    if (auto* view = find(host))
        ++view->outstanding;
}

void placement::on_finished(host_address const& host)
{
    if (auto* view = find(host); view != nullptr && view->outstanding > 0)
        --view->outstanding;
}

void placement::on_load_report(host_address const& host,
                               upstream_load const& load, mono_time now)
{
    auto* view = find(host);
    if (view == nullptr)
        return;
    view->load = load;
    view->load_time = now;
    view->has_load = true;
    view->outstanding_at_report = view->outstanding;
    view->pause = milliseconds{0};
}

void placement::on_unreachable(host_address const& host, mono_time now)
{
    auto* view = find(host);
    if (view == nullptr)
        return;
    view->pause =
        std::clamp(view->pause * 2, options_.initial_pause, options_.max_pause);
    view->paused_until = now + view->pause;
}

void placement::on_not_ready(host_address const& host, milliseconds pause,
                             mono_time now)
{
    if (auto* view = find(host))
        view->paused_until = now + pause;
}

std::size_t placement::host_count(service_name const& service) const
{
    auto const found = by_service_.find(service);
    return found == by_service_.end() ? 0 : found->second.size();
}

} // namespace pollenhall::mesh
