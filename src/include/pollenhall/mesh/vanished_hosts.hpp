// Decides when the entry of a host may be removed. Load pattern: hundreds of
// hosts a day are replaced under other addresses; entries that stay cost each
// node a refused connection now and then, and the table grows without end.

#pragma once

#include <pollenhall/mesh/placement.hpp>

#include <map>
#include <optional>

namespace pollenhall::mesh
{

/// Settings of `vanished_hosts`.
struct vanished_host_options
{
    /// Time between two probes of a node. At 24 hosts for each node that
    /// probes, each host is asked every four minutes.
    seconds probe_interval{10};
    /// A host that is silent for this long is gone: longer than a partition
    /// that operators would wait out, and one that lives writes its entry
    /// again when it finds it removed.
    seconds gone_after{600};
    /// Probes in a row that must have failed.
    int least_failures = 3;

    bool operator==(vanished_host_options const&) const = default;
};

/// Probes of the hosts that one node looks after. Not thread-safe.
class vanished_hosts
{
public:
    explicit vanished_hosts(vanished_host_options options);

    /// The host to probe next: the one whose last probe is longest ago.
    /// Others than `hosts` are forgotten. Empty if there are none.
    std::optional<host_address> next(std::vector<host_address> const& hosts,
                                     mono_time now);
    /// Notes a probe; true if the host's entry may be removed.
    bool on_probe(host_address const& host, bool answered, mono_time now);

private:
    struct record
    {
        mono_time probed{};
        mono_time silent_since{};
        // Probes in a row without an answer.
        int failures = 0;
    };

    vanished_host_options options_;
    std::map<host_address, record> records_;
};

} // namespace pollenhall::mesh
