// Decides when a service's roster needs a new epoch, and what it contains.

#pragma once

#include <pollenhall/home_roster.hpp>

#include <optional>
#include <set>
#include <vector>

namespace pollenhall
{

/// State of the newest epoch of a service, as the node's `roster_tracker` knows
/// it.
struct roster_status
{
    service_name service;
    /// Number of the newest epoch.
    roster_epoch latest;
    bool active = false;
    /// Processes that have certainly terminated.
    std::set<roster_member> terminated;

    bool operator==(roster_status const&) const = default;
};

/// Settings of `roster_proposer`.
struct roster_proposer_options
{
    /// The set of live members must stay unchanged for this long before it is
    /// proposed.
    milliseconds settle_time{1'000};
    /// Minimum time between two proposals by one node.
    milliseconds min_proposal_interval{1'000};
    /// Time for which keys are remembered. Epochs that ended earlier are
    /// dropped.
    milliseconds key_retention{600'000};
};

/// Proposes epochs for the service of this node's upstream. Not thread-safe.
class roster_proposer
{
public:
    explicit roster_proposer(roster_proposer_options options = {})
        : options_(options)
    {
    }

    /// Returns the history with one epoch added if `self` has to propose it
    /// now. `live` holds the live processes of the service, including this one,
    /// in any order.
    std::optional<roster_history> propose(roster_member const& self,
                                          std::vector<roster_member> live,
                                          roster_history const& known,
                                          roster_status const& status,
                                          mono_time now, wall_time wall_now);

private:
    [[nodiscard]] bool can_add_epoch(std::vector<roster_member> const& live,
                                     roster_history const& known,
                                     roster_status const& status) const;

    roster_proposer_options options_;
    std::vector<roster_member> candidate_members_;
    mono_time candidate_since_{};
    mono_time last_proposal_{};
};

} // namespace pollenhall
