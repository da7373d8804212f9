// Decides what follows an attempt of a call: its answer is passed on, the
// call is placed elsewhere, or it ends as refused or unknown. Load pattern:
// upstreams that shed or fail at the same moment as demand grows; each repeat
// adds load where there is none to spare, so repeats draw on an allowance.

#pragma once

#include <pollenhall/ids.hpp>

#include <map>

namespace pollenhall::mesh
{

/// How an attempt ended.
enum class attempt_end
{
    /// A whole answer that is passed on.
    answered,
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
    /// Part of the allowance that is used: repeats of a call repeat the calls
    /// below it, which count at their services as well.
    double use_share = 0.5;
};

/// Keeps the repeats of each service within the allowance that all nodes
/// share, by a node's own part of it: the ratio of the first attempts that it
/// sends, and an equal part of the slack. Not thread-safe.
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_options options);

    /// Sets the number of nodes that share the slack.
    void set_nodes(std::size_t nodes);
    void on_first_attempt(service_name const& service);
    /// Takes one repeat; false if none is left.
    bool spend(service_name const& service);

private:
    // The node's part of the slack.
    [[nodiscard]] double slack_share() const;

    retry_allowance_options options_;
    std::size_t nodes_ = 1;
    // Repeats saved up, from 0 to the part of the slack or 1.
    std::map<service_name, double> tokens_;
};

/// Limits of one call.
struct attempt_limits
{
    bool idempotent = false;
    /// Most attempts that may reach an upstream.
    int attempts = 1;
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

private:
    void note(attempt_end end);
    [[nodiscard]] bool wants_repeat(attempt_end end, bool elsewhere) const;
    [[nodiscard]] next_step final_step(attempt_end end) const;

    attempt_limits limits_;
    // Attempts that reached or may have reached an upstream.
    int offered_ = 0;
    int refused_ = 0;
    // An earlier attempt may have run the call.
    bool may_have_run_ = false;
};

} // namespace pollenhall::mesh
