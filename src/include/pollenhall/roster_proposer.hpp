// Decides when a service's roster is to change and what the next epoch is.

#pragma once

#include <pollenhall/home_roster.hpp>

#include <optional>
#include <set>
#include <vector>

namespace pollenhall
{

/// What a node's home keeper knows of the newest epoch of a service.
struct roster_status
{
    service_name service;
    roster_epoch latest;
    bool active = false;
    /// Processes that are certainly gone.
    std::set<roster_member> gone;

    bool operator==(roster_status const&) const = default;
};

/// Settings of `roster_proposer`.
struct roster_proposer_options
{
    /// Time for which the wish must stay the same before it is proposed.
    milliseconds settle{1'000};
    /// Least time between two proposals by one node.
    milliseconds interval{1'000};
    /// Time for which keys are remembered; older epochs are dropped.
    milliseconds key_window{600'000};
};

/// The part of one node for the service of its upstream. Not thread-safe.
class roster_proposer
{
public:
    explicit roster_proposer(roster_proposer_options options = {})
        : options_(options)
    {
    }

    /// Decides whether `self` is to propose now, and what: the history with
    /// one epoch more. `live` are the processes of the service that live,
    /// this one included, in any order.
    std::optional<roster_history> propose(roster_member const& self,
                                          std::vector<roster_member> live,
                                          roster_history const& known,
                                          roster_status const& status,
                                          mono_time now, wall_time wall_now);

private:
    [[nodiscard]] bool may_follow(std::vector<roster_member> const& live,
                                  roster_history const& known,
                                  roster_status const& status) const;

    roster_proposer_options options_;
    std::vector<roster_member> wanted_;
    mono_time wanted_since_{};
    mono_time last_proposal_{};
};

} // namespace pollenhall
