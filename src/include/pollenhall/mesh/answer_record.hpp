// What past answers on a route say about the next: after which silence an
// answer is not to be expected any more, and whether failures are rare. Load
// pattern: upstreams that run requests and lose the answer, or that stop
// without a word; a caller's time would pass in waiting.

#pragma once

#include <pollenhall/mesh/configuration.hpp>

#include <map>
#include <optional>

namespace pollenhall::mesh
{

/// Settings of `answer_record`.
struct answer_record_options
{
    /// Mean deviations above the mean after which an answer is overdue. Few
    /// answers of a long-tailed distribution come later.
    double deviations = 7;
    /// Silence below this says nothing.
    milliseconds least_patience{120};
    /// Weight of one answer in the mean.
    double weight = 0.05;
    /// Answers that are needed before anything is said.
    int least_answers = 20;
    /// Share of failures up to which they count as rare.
    double rare_share = 0.02;
};

/// Past answers by route. Not thread-safe.
class answer_record
{
public:
    explicit answer_record(answer_record_options options = {});

    /// An upstream's answer came after `took`; `failed` if it says that the
    /// request failed.
    void on_answer(route_name const& route, microseconds took, bool failed);
    /// An attempt ended without an answer.
    void on_failure(route_name const& route);

    /// Silence after which an answer is overdue; empty if not known.
    [[nodiscard]] std::optional<milliseconds>
    patience(route_name const& route) const;
    /// Whether failures on the route are rare.
    [[nodiscard]] bool failures_are_rare(route_name const& route) const;

private:
    struct record
    {
        int answers = 0;
        double mean_ms = 0;
        double deviation_ms = 0;
        double failing = 0;
    };
    [[nodiscard]] record const* find(route_name const& route) const;
    void note_failure(record& past, bool failed) const;

    answer_record_options options_;
    std::map<route_name, record> records_;
};

} // namespace pollenhall::mesh
