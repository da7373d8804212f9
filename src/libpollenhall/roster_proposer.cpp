// Proposal of roster epochs.

#include <pollenhall/roster_proposer.hpp>

#include <algorithm>

namespace pollenhall
{

// A new epoch becomes active only if every member of the newest epoch seals it
// or has terminated. A member that does not respond but has not certainly
// terminated would block all keys of the new epoch, so no epoch is proposed
// while there is such a member.
bool roster_proposer::can_add_epoch(std::vector<roster_member> const& live,
                                    roster_history const& known,
                                    roster_status const& status) const
{
    auto const* const latest = known.latest();
    if (latest == nullptr)
        return true;
    if (!status.active || status.latest != latest->number)
        return false;
    return std::all_of(latest->members.begin(), latest->members.end(),
                       [&](roster_member const& member)
                       {
                           return std::find(live.begin(), live.end(), member) !=
                                      live.end() ||
                                  status.terminated.contains(member);
                       });
}

std::optional<roster_history> roster_proposer::propose(
    roster_member const& self, std::vector<roster_member> live,
    roster_history const& known, roster_status const& status, mono_time now,
    wall_time wall_now)
{
    std::sort(live.begin(), live.end());
    if (live != candidate_members_)
    {
        candidate_members_ = live;
        candidate_since_ = now;
    }
    auto const* const latest = known.latest();
    bool const differs = latest == nullptr || latest->members != live;
    // Only the first live member proposes, so that the store gets one write.
    bool const is_proposer = !live.empty() && live.front() == self;
    bool const is_due = now >= candidate_since_ + options_.settle_time &&
                        now >= last_proposal_ + options_.min_proposal_interval;
    if (!differs || !is_proposer || !is_due ||
        !can_add_epoch(live, known, status))
        return std::nullopt;
    last_proposal_ = now;
    epoch_roster next;
    next.number =
        roster_epoch(latest == nullptr ? 1 : latest->number.value() + 1);
    // There was no home before the first epoch, so it can start at once.
    next.start = latest == nullptr ? wall_now
                                   : std::max(wall_now + min_epoch_lead,
                                              latest->start + milliseconds{1});
    next.members = std::move(live);
    auto history = known;
    auto const append_status =
        history.append(std::move(next), wall_now - options_.key_retention);
    if (!append_status.ok())
        return std::nullopt;
    return history;
}

} // namespace pollenhall
