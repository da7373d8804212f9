// Statistics of past responses on a route: after which time a response is
// overdue and whether failures are rare. An upstream may run a request and lose
// the response, or stop without notice. Waiting for such a response would use
// up the caller's time.

#pragma once

#include <pollenhall/mesh/configuration.hpp>

#include <map>
#include <optional>

namespace pollenhall::mesh
{

/// Settings of `response_stats`.
struct response_stats_options
{
    /// Number of mean absolute deviations above the mean response time after
    /// which a response is overdue. Even in a long-tailed distribution, few
    /// responses arrive later.
    double max_deviations = 7;
    /// A response is never overdue before this time.
    milliseconds min_overdue_delay{120};
    /// Weight of one response in the moving averages.
    double sample_weight = 0.05;
    /// Minimum number of successful responses before the statistics are used.
    int min_responses = 20;
    /// Maximum fraction of failures that counts as rare.
    double rare_failure_fraction = 0.02;
};

/// Statistics of past responses by route. Not thread-safe.
class response_stats
{
public:
    explicit response_stats(response_stats_options options = {});

    /// Records a response that arrived after `response_time`. `failed` tells
    /// whether it reports a failure.
    void on_response(route_name const& route, microseconds response_time,
                     bool failed);
    /// Records an attempt that ended without a response, or whose response is
    /// overdue.
    void on_failure(route_name const& route);

    /// Time after which a response is overdue; empty if there were too few
    /// responses.
    [[nodiscard]] std::optional<milliseconds>
    overdue_delay(route_name const& route) const;
    /// Whether failures on the route are rare; false if there were too few
    /// responses.
    [[nodiscard]] bool failures_are_rare(route_name const& route) const;

private:
    struct route_stats
    {
        // Successful responses, counted up to `min_responses`.
        int responses = 0;
        double mean_ms = 0;
        double deviation_ms = 0;
        double failure_fraction = 0;
    };
    [[nodiscard]] route_stats const* find(route_name const& route) const;
    void record_outcome(route_stats& stats, bool failed) const;

    response_stats_options options_;
    std::map<route_name, route_stats> stats_by_route_;
};

} // namespace pollenhall::mesh
