// Decides when the entry of an unreachable host may be removed from the store.
// Hundreds of hosts a day are replaced by hosts with other addresses. Stale
// entries would cause failed connections at every node, and the table of hosts
// would grow without limit.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <map>
#include <optional>

namespace pollenhall::mesh
{

/// Settings of `vanished_hosts`.
struct vanished_host_options
{
    /// Interval at which a node sends probes. With 24 hosts per probing node,
    /// each host is probed every four minutes.
    seconds probe_interval{10};
    /// Time without a response after which the entry of a host is removed.
    /// Longer than a network partition that operators would tolerate. A host
    /// that still runs writes its entry again when it finds it removed.
    seconds removal_timeout{600};
    /// Minimum number of consecutive failed probes before a removal.
    int min_failures = 3;

    bool operator==(vanished_host_options const&) const = default;
};

/// Tracks the probes of the hosts that are assigned to one node. Not
/// thread-safe.
class vanished_hosts
{
public:
    explicit vanished_hosts(vanished_host_options options);

    /// Returns the host to probe next, which is the one with the oldest probe,
    /// or an empty optional if `hosts` is empty. Discards the records of hosts
    /// that are not in `hosts`.
    std::optional<host_address> next(std::vector<host_address> const& hosts,
                                     mono_time now);
    /// Records the result of a probe. Returns true if the entry of the host may
    /// be removed.
    bool on_probe(host_address const& host, bool responded, mono_time now);

private:
    struct record
    {
        mono_time last_probe{};
        // First of the consecutive failed probes.
        mono_time failing_since{};
        int consecutive_failures = 0;
    };

    vanished_host_options options_;
    std::map<host_address, record> records_;
};

} // namespace pollenhall::mesh
