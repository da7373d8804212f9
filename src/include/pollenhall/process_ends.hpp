// Decides when a process has certainly terminated. Two decisions depend on it:
// no key can have run at that home afterwards, and a roster may change without
// the process sealing its epoch. A process that does not respond may only be
// paused, so it does not count as terminated.

#pragma once

#include <pollenhall/home_roster.hpp>
#include <pollenhall/membership.hpp>

#include <map>
#include <optional>

namespace pollenhall
{

/// What one node has observed of the termination of processes. Not thread-safe.
class process_ends
{
public:
    /// `self` is this process, which started at `started`.
    process_ends(roster_member self, wall_time started)
        : self_(std::move(self)), started_(started)
    {
    }

    /// Records that a connection to the endpoint of `process` was refused. A
    /// process listens before its peers learn of it, so it cannot be still
    /// starting. Only the first refusal of a process is kept.
    void on_connection_refused(roster_member const& process, wall_time now);

    /// Returns a time at which the process had certainly terminated; empty if
    /// it may still run. `peer` is the current record of the node; null if the
    /// node is unknown. A process has terminated if a later process of the same
    /// node exists, or if membership declares it dead and its endpoint refuses
    /// connections.
    [[nodiscard]] std::optional<wall_time>
    termination_time(roster_member const& process, peer_info const* peer) const;

private:
    roster_member self_;
    wall_time started_;
    // Time of the first refused connection, by process; bounded.
    std::map<roster_member, wall_time> refused_;
};

} // namespace pollenhall
