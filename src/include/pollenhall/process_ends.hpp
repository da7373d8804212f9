// Decides from when on a process of a node is certainly gone. Others build on
// it: keys of its home did not run afterwards, and a roster may change
// without its promise. A silent process is not gone; it may be paused.

#pragma once

#include <pollenhall/home_roster.hpp>
#include <pollenhall/membership.hpp>

#include <map>
#include <optional>

namespace pollenhall
{

/// What one node saw of the ends of processes. Not thread-safe.
class process_ends
{
public:
    /// `self` is this node's process, which started at `started`.
    process_ends(roster_member self, wall_time started)
        : self_(std::move(self)), started_(started)
    {
    }

    /// Notes that nothing listens at the endpoint that a process announced.
    /// A process listens before its peers hear of it, so this one is not
    /// starting up. Only the first time counts.
    void on_refused(roster_member const& process, wall_time now);

    /// A time at which the process was certainly gone; empty if it may live.
    /// `peer` is what is known now of the node of that name; null if nothing.
    /// A process is gone if a later one has its name, or if it is held for
    /// dead and nothing listens at its endpoint.
    [[nodiscard]] std::optional<wall_time> end_of(roster_member const& process,
                                                  peer_info const* peer) const;

private:
    roster_member self_;
    wall_time started_;
    // When nothing listened any more, by process; bounded.
    std::map<roster_member, wall_time> refused_;
};

} // namespace pollenhall
