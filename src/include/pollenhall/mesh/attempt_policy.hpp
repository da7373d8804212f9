// Decides what to do after an attempt of a call ends: deliver its response,
// try another upstream, or report the call as rejected or as unknown.
// Upstreams tend to shed load or fail just when demand grows, and each retry
// adds load at that moment, so retries are limited by an allowance.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/mesh/call_rank.hpp>

#include <map>
#include <vector>

namespace pollenhall::mesh
{

/// How an attempt ended.
enum class attempt_end
{
    /// A complete response that can be delivered.
    answered,
    /// A complete response in which the upstream reports a failure.
    failed,
    /// The gate rejected the call or could not be reached; no upstream
    /// received it.
    not_offered,
    /// The upstream reported that it did not run the call.
    not_run,
    /// The call may have run, but there is no response.
    unknown,
    /// The deadline has passed.
    timed_out,
    /// The gate rejected the request because it crashes upstreams; no upstream
    /// received it, and none may.
    quarantined
};

std::string_view to_string(attempt_end end);

/// What to do after an attempt.
enum class next_step
{
    /// Deliver the response that was received.
    deliver,
    /// Make another attempt. It is not a retry, because no upstream received
    /// the call.
    reroute,
    /// Make another attempt, which is charged to the retry allowance: an
    /// upstream has or may have received the call.
    retry,
    /// Report that the call did not run.
    report_not_run,
    /// Report that the outcome is unknown.
    report_unknown,
    /// Report a timeout.
    time_out
};

/// Settings of `retry_allowance`.
struct retry_allowance_options
{
    /// Retries allowed for each first attempt, over all nodes.
    double ratio = 0;
    /// Retries allowed in each window in addition to `ratio`, over all nodes.
    double slack = 0;
    /// Length of the sliding window.
    seconds window{10};
    /// Time from which the usable part is used. An earlier process of the node
    /// may have used it, so that time is a window after the start. Until then
    /// the node uses what that one left of `ratio`, and no `slack`, as a new
    /// process knows only some of the nodes.
    mono_time full_from{};
    /// Fraction of the allowance that is used. The rest covers first attempts
    /// that drop out of the count when a node ends.
    double usable_fraction = 0.8;
    /// Fraction of the usable allowance that is reserved for calls of requests
    /// with the highest priority.
    double urgent_fraction = 0.35;
    /// Fraction of the allowance that is withheld from the last cohort; earlier
    /// cohorts lose proportionally less. A short allowance then retries all
    /// calls of some requests rather than some calls of all requests.
    double cohort_fraction = 0.6;
    /// Fraction of a window's allowance that may be used within one second.
    /// Without this limit, a service that rejects calls for a long time uses
    /// up the allowance in the first second, regardless of rank.
    double per_second_fraction = 0.15;
    /// Retries allowed in each second in addition to `per_second_fraction`.
    double per_second_slack = 8;

    bool operator==(retry_allowance_options const&) const = default;
};

/// Limits the retries of each service to an allowance that all nodes share.
/// Each node uses its own part: `ratio` of the first attempts that it sends,
/// and an equal part of `slack`. The retries in a window are compared with the
/// first attempts of that window or of an earlier one, whichever had most, so
/// that a drop in demand does not reduce the allowance at once.
/// Not thread-safe.
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_options options);

    /// Sets the number of nodes among which `slack` is divided.
    void set_node_count(std::size_t nodes);
    void on_first_attempt(service_name const& service, mono_time now);
    /// Takes one retry from the allowance. Returns false if none is left for
    /// a call of this rank.
    bool spend(service_name const& service, call_rank rank, mono_time now);
    /// Counts a retry without checking the allowance, for a call that a
    /// retried request makes.
    void count_retry(service_name const& service, mono_time now);

private:
    // Counts per bucket of half a second, over two windows.
    struct history
    {
        std::vector<int> first_attempts;
        std::vector<int> retries;
        // Number of the last bucket since the epoch of the clock.
        std::int64_t last_bucket = 0;
    };

    // Returns the counts of a service, moved forward to the bucket of `now`.
    history& advance(service_name const& service, mono_time now);
    [[nodiscard]] std::size_t window_buckets() const;
    // Whether one more retry fits into `fraction` of the window's allowance.
    [[nodiscard]] bool within_window_limit(history const& counts,
                                           double fraction,
                                           mono_time now) const;
    // Whether one more retry fits into `fraction` of the last second's
    // allowance.
    [[nodiscard]] bool within_second_limit(history const& counts,
                                           double fraction) const;
    // Fraction of the allowance that a call of this rank may use.
    [[nodiscard]] double allowed_fraction(call_rank rank) const;

    retry_allowance_options options_;
    std::size_t nodes_ = 1;
    std::map<service_name, history> counts_;
};

/// Limits of one call.
struct attempt_limits
{
    bool idempotent = false;
    /// Maximum number of attempts that an upstream may run.
    int max_runs = 1;
    /// Maximum number of attempts that an upstream reports as not run. It can
    /// be high because each retry is charged to the allowance: if half of the
    /// calls are rejected, one in a thousand needs more.
    int max_rejections = 10;
    /// Maximum number of attempts that reach no upstream.
    int max_unsent = 3;
};

/// Tracks the attempts of one call. Not thread-safe.
class attempt_policy
{
public:
    explicit attempt_policy(attempt_limits limits);

    /// Returns the next step after an attempt that ended as `end`.
    /// `has_alternative` says whether another upstream can be tried.
    /// `spend_retry` takes a retry from the allowance and returns whether one
    /// was left; it is called at most once, and only if a retry would follow.
    template <class SpendRetry>
    next_step on_end(attempt_end end, bool has_alternative,
                     SpendRetry&& spend_retry)
    {
        record_end(end);
        if (!may_continue(end, has_alternative))
            return final_step(end);
        if (end == attempt_end::not_offered)
            return next_step::reroute;
        return spend_retry() ? next_step::retry : final_step(end);
    }

    /// Decides whether to start a hedged attempt beside one whose response is
    /// overdue. Returns `retry` to start it, or `deliver` to keep waiting for
    /// the response. `spend_retry` is the same as for `on_end`.
    template <class SpendRetry>
    next_step on_overdue(SpendRetry&& spend_retry)
    {
        if (!limits_.idempotent || runs_ + 1 >= limits_.max_runs ||
            !spend_retry())
            return next_step::deliver;
        record_end(attempt_end::unknown);
        return next_step::retry;
    }

private:
    void record_end(attempt_end end);
    [[nodiscard]] bool may_continue(attempt_end end,
                                    bool has_alternative) const;
    [[nodiscard]] next_step final_step(attempt_end end) const;

    attempt_limits limits_;
    // Attempts that ran or may have run.
    int runs_ = 0;
    // Attempts that an upstream reported as not run.
    int rejections_ = 0;
    // Attempts that reached no upstream.
    int unsent_ = 0;
    // Whether an attempt that did not succeed may have run the call.
    bool may_have_run_ = false;
};

} // namespace pollenhall::mesh
