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

bool shutdown_policy::fits(stopping_request const& request, mono_time now) const
{
    if (request.deadline <= end())
        return true;
    return now - began_ <= options_.min_time &&
           now + request.usual_time <= end();
}

bool shutdown_policy::accepts(stopping_request const& request,
                              mono_time now) const
{
    if (request.is_inner_call)
        return now < max_deadline();
    return !passed(options_.caller_requests_fraction, now) &&
           fits(request, now);
}

bool shutdown_policy::accepts_peer_call(stopping_request const& call,
                                        mono_time now) const
{
    // Later calls would keep the node from ending when its callers have gone.
    return now - began_ <= options_.min_time && fits(call, now);
}

bool shutdown_policy::may_end_idle(mono_time last_accepted, mono_time now) const
{
    if (now - began_ < options_.min_time)
        return false;
    return passed(options_.caller_requests_fraction, now) ||
           now - last_accepted >= options_.quiet_period;
}

} // namespace pollenhall::mesh
