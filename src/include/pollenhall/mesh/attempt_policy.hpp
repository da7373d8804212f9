// Decides what follows an attempt of a call: its answer is passed on, the
// call is placed elsewhere, or it ends as refused or unknown. Load pattern:
// upstreams that shed or fail at the same moment as demand grows; each repeat
// adds load where there is none to spare, so repeats draw on an allowance.

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
    /// A whole answer that is passed on.
    answered,
    /// A whole answer of the upstream that says that it failed.
    failed,
    /// The gate or the way to it refused; no upstream saw the call.
    not_offered,
    /// The upstream said that it did not run the call.
    not_run,
    /// The call may have run, and there is no answer.
    unknown,
    /// No time is left.
    timed_out
};

std::string_view to_string(attempt_end end);

/// What is done next.
enum class next_step
{
    deliver,
    /// Another attempt, which no upstream counts as a repeat.
    place_again,
    /// Another attempt that is taken from the retry allowance.
    repeat,
    /// Answer that it has not run.
    refuse,
    /// Answer that the outcome is not known.
    give_up,
    /// Answer that time ran out.
    time_out
};

/// Settings of `retry_allowance`.
struct retry_allowance_options
{
    /// Repeats for each first attempt, for all nodes together.
    double ratio = 0;
    /// Repeats beyond the ratio in a window, for all nodes together.
    double slack = 0;
    /// Length of a window.
    seconds window{10};
    /// Part of the allowance that is used; the rest covers requests that
    /// nodes which end take out of the count.
    double use_share = 0.8;
    /// Part of it that is kept for calls of the most urgent requests.
    double urgent_share = 0.35;
    /// Part of what a call may use that the last cohort is denied. Where the
    /// allowance is short, repeats go to all calls of some requests, not to
    /// some calls of all.
    double cohort_share = 0.6;
    /// Part of a window's allowance that one second may use, and repeats that
    /// it may use in any case: a service that refuses for long would else use
    /// it all up in the first second, on whatever comes first.
    double second_share = 0.15;
    double second_slack = 8;

    bool operator==(retry_allowance_options const&) const = default;
};

/// Keeps the repeats of each service within the allowance that all nodes
/// share, by a node's own part of it: the ratio of the first attempts that it
/// sends, and an equal part of the slack. Repeats of a window are compared
/// with the first attempts of that window or of an earlier one, whichever had
/// most: when demand is cut, what is left may be repeated more.
/// Not thread-safe.
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_options options);

    /// Sets the number of nodes that share the slack.
    void set_nodes(std::size_t nodes);
    void on_first_attempt(service_name const& service, mono_time now);
    /// Takes one repeat; false if none is left for a call of this rank.
    bool spend(service_name const& service, call_rank rank, mono_time now);
    /// Counts a repeat that can't be avoided: a call made by a repeated run.
    void count(service_name const& service, mono_time now);

private:
    // Counts of half a second each; enough of them for two windows.
    struct history
    {
        std::vector<int> first;
        std::vector<int> repeats;
        std::int64_t slot = 0;
    };

    history& advance(service_name const& service, mono_time now);
    [[nodiscard]] std::size_t slots() const;
    // Whether one more repeat fits into `share` of the allowance.
    [[nodiscard]] bool has_room(history const& counts, double share) const;
    // The same for the allowance of the last second.
    [[nodiscard]] bool has_pace(history const& counts, double share) const;
    // Part of the allowance that a call of this rank may use.
    [[nodiscard]] double share_of(call_rank rank) const;

    retry_allowance_options options_;
    std::size_t nodes_ = 1;
    std::map<service_name, history> counts_;
};

/// Limits of one call.
struct attempt_limits
{
    bool idempotent = false;
    /// Most attempts that may run.
    int attempts = 1;
    /// Most attempts that an upstream says it did not run. Many, since each is
    /// paid for from the allowance: where half of the calls are refused, one
    /// in a thousand needs more.
    int refusals = 10;
    /// Most attempts that reach no upstream.
    int placements = 3;
};

/// Follows the attempts of one call. Not thread-safe.
class attempt_policy
{
public:
    explicit attempt_policy(attempt_limits limits);

    /// What follows an attempt that ended as `end`. `elsewhere` says whether
    /// another upstream can be tried, `allowance` whether a repeat may be
    /// spent; it is asked for at most once and only when it decides.
    template <class SpendRepeat>
    next_step on_end(attempt_end end, bool elsewhere, SpendRepeat&& allowance)
    {
        note(end);
        if (!wants_repeat(end, elsewhere))
            return final_step(end);
        if (end == attempt_end::not_offered)
            return next_step::place_again;
        return allowance() ? next_step::repeat : final_step(end);
    }

    /// Whether another attempt runs beside one whose answer is overdue;
    /// `repeat` if so, else `deliver`: what comes is waited for.
    template <class SpendRepeat>
    next_step on_overdue(SpendRepeat&& allowance)
    {
        if (!limits_.idempotent || run_ + 1 >= limits_.attempts || !allowance())
            return next_step::deliver;
        note(attempt_end::unknown);
        return next_step::repeat;
    }

private:
    void note(attempt_end end);
    [[nodiscard]] bool wants_repeat(attempt_end end, bool elsewhere) const;
    [[nodiscard]] next_step final_step(attempt_end end) const;

    attempt_limits limits_;
    // Attempts that ran or may have run, that an upstream did not run, and
    // that reached none.
    int run_ = 0;
    int refused_ = 0;
    int not_offered_ = 0;
    // An earlier attempt may have run the call.
    bool may_have_run_ = false;
};

} // namespace pollenhall::mesh
