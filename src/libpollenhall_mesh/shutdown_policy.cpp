// Compares the time that a request needs with the rest of the grace period.

#include <pollenhall/mesh/shutdown_policy.hpp>

namespace pollenhall::mesh
{

shutdown_policy::shutdown_policy(shutdown_options options, mono_time began)
    : options_(options), began_(began)
{
}

bool shutdown_policy::passed(double fraction, mono_time now) const
{
    return now - began_ >
           std::chrono::duration_cast<microseconds>(options_.grace * fraction);
}

bool shutdown_policy::accepts(stopping_request const& request,
                              mono_time now) const
{
    if (request.is_inner_call)
        return now < end();
    if (passed(options_.caller_requests_fraction, now))
        return false;
    if (request.deadline <= end())
        return true;
    // While the platform still sends callers here, a request with a long
    // timeout is accepted if it is unlikely to use it up.
    return now - began_ <= options_.min_time &&
           now + request.usual_time <= end();
}

bool shutdown_policy::accepts_peer_calls(mono_time now) const
{
    return !passed(options_.peer_calls_fraction, now);
}

bool shutdown_policy::may_end_idle(mono_time last_accepted, mono_time now) const
{
    if (now - began_ < options_.min_time)
        return false;
    return passed(options_.caller_requests_fraction, now) ||
           now - last_accepted >= options_.quiet_period;
}

} // namespace pollenhall::mesh
