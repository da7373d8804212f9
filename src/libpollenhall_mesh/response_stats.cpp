// Computes moving averages of past responses by route.

#include <pollenhall/mesh/response_stats.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall::mesh
{

response_stats::response_stats(response_stats_options options)
    : options_(options)
{
}

void response_stats::record_outcome(route_stats& stats, bool failed) const
{
    stats.failure_fraction += ((failed ? 1.0 : 0.0) - stats.failure_fraction) *
                              options_.sample_weight;
}

void response_stats::on_response(route_name const& route,
                                 microseconds response_time, bool failed)
{
    auto& stats = stats_by_route_[route];
    record_outcome(stats, failed);
    if (failed)
        return;
    auto const ms =
        std::chrono::duration<double, std::milli>(response_time).count();
    if (stats.responses == 0)
    {
        stats.mean_ms = ms;
        stats.deviation_ms = ms / 2;
    }
    stats.deviation_ms += (std::abs(ms - stats.mean_ms) - stats.deviation_ms) *
                          options_.sample_weight;
    stats.mean_ms += (ms - stats.mean_ms) * options_.sample_weight;
    stats.responses = std::min(stats.responses + 1, options_.min_responses);
}

void response_stats::on_failure(route_name const& route)
{
    record_outcome(stats_by_route_[route], true);
}

response_stats::route_stats const*
response_stats::find(route_name const& route) const
{
    auto const found = stats_by_route_.find(route);
    return found == stats_by_route_.end() ? nullptr : &found->second;
}

std::optional<milliseconds>
response_stats::overdue_delay(route_name const& route) const
{
    auto const* stats = find(route);
    if (stats == nullptr || stats->responses < options_.min_responses)
        return std::nullopt;
    return std::max(
        options_.min_overdue_delay,
        milliseconds(static_cast<std::int64_t>(
            stats->mean_ms + options_.max_deviations * stats->deviation_ms)));
}

bool response_stats::failures_are_rare(route_name const& route) const
{
    auto const* stats = find(route);
    return stats != nullptr && stats->responses >= options_.min_responses &&
           stats->failure_fraction <= options_.rare_failure_fraction;
}

} // namespace pollenhall::mesh
