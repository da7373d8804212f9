// Decides which requests a node still accepts during a planned stop, and when
// it may end. The platform notices the stop after two seconds and ends the
// process at a fixed time, so requests keep arriving for a while, and some of
// them take longer than what is left.

#pragma once

#include <pollenhall/ids.hpp>

namespace pollenhall::mesh
{

/// Settings of `shutdown_policy`.
struct shutdown_options
{
    /// Time from the start of the stop in which accepted requests are answered.
    milliseconds grace{0};
    /// Time after `grace` in which requests that are still open may complete.
    milliseconds final_period{0};
    /// Time from the deadline of a request until its response is sent.
    milliseconds response_time{200};
    /// Fraction of `grace` after which requests of callers are rejected.
    double caller_requests_fraction = 0.55;
    /// The platform stops sending callers after two failed readiness checks,
    /// one second apart. New requests are expected at least until then.
    milliseconds min_time{2'300};
    /// Time without a request after which no more are expected.
    milliseconds quiet_period{400};
};

/// A request that arrives during the stop.
struct stopping_request
{
    /// Time at which it is answered at the latest.
    mono_time deadline{};
    /// Time that nearly all requests of its route take; zero if unknown.
    milliseconds usual_time{0};
    /// Whether it is made by a request that runs at the upstream of this host
    /// and would fail without it.
    bool is_inner_call = false;
};

/// The stop of one node. Not thread-safe.
class shutdown_policy
{
public:
    shutdown_policy(shutdown_options options, mono_time began);

    /// Whether the request can be answered before the process ends.
    [[nodiscard]] bool accepts(stopping_request const& request,
                               mono_time now) const;
    /// The same for a call of a peer to the upstream of this host. The last
    /// upstream of a service may be the one whose node is stopping.
    [[nodiscard]] bool accepts_peer_call(stopping_request const& call,
                                         mono_time now) const;
    /// Whether the process may end, given that it serves nothing and accepted
    /// the last request at `last_accepted`.
    [[nodiscard]] bool may_end_idle(mono_time last_accepted,
                                    mono_time now) const;
    /// Time by which accepted requests are expected to be answered.
    [[nodiscard]] mono_time end() const { return began_ + options_.grace; }
    /// Time at which the process ends, even if requests are open.
    [[nodiscard]] mono_time process_end() const
    {
        return end() + options_.final_period;
    }
    /// Latest deadline of a request that is accepted during the stop, so that
    /// its response is sent before the process ends.
    [[nodiscard]] mono_time max_deadline() const
    {
        return process_end() - options_.response_time;
    }
    [[nodiscard]] mono_time began() const { return began_; }

private:
    // Whether the response is expected before the process ends. Within
    // `min_time` the usual time of the request decides, later its deadline.
    [[nodiscard]] bool fits(stopping_request const& request,
                            mono_time now) const;
    // Whether `fraction` of the grace period has passed.
    [[nodiscard]] bool passed(double fraction, mono_time now) const;

    shutdown_options options_;
    mono_time began_;
};

} // namespace pollenhall::mesh
