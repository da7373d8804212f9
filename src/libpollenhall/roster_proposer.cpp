// Implements proposing roster epochs.

#include <pollenhall/roster_proposer.hpp>

#include <algorithm>

namespace pollenhall
{

// The next epoch becomes active only if every member of the newest one can
// promise or is gone; a member that is silent without being gone would stop
// the whole service, so nothing is proposed while there is one.
bool roster_proposer::may_follow(std::vector<roster_member> const& live,
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
                                  status.gone.contains(member);
                       });
}

std::optional<roster_history> roster_proposer::propose(
    roster_member const& self, std::vector<roster_member> live,
    roster_history const& known, roster_status const& status, mono_time now,
    wall_time wall_now)
{
    std::sort(live.begin(), live.end());
    if (live != wanted_)
    {
        wanted_ = live;
        wanted_since_ = now;
    }
    auto const* const latest = known.latest();
    bool const differs = latest == nullptr || latest->members != live;
    // One node proposes, so that the store sees one write.
    bool const is_proposer = !live.empty() && live.front() == self;
    bool const is_due = now >= wanted_since_ + options_.settle &&
                        now >= last_proposal_ + options_.interval;
    if (!differs || !is_proposer || !is_due || !may_follow(live, known, status))
        return std::nullopt;
    last_proposal_ = now;
    roster_period next;
    next.number =
        roster_epoch(latest == nullptr ? 1 : latest->number.value() + 1);
    // Nobody was home before the first epoch, so it needs no lead.
    next.start = latest == nullptr ? wall_now
                                   : std::max(wall_now + roster_lead,
                                              latest->start + milliseconds{1});
    next.members = std::move(live);
    auto history = known;
    auto const status_of_append =
        history.append(std::move(next), wall_now - options_.key_window);
    if (!status_of_append.ok())
        return std::nullopt;
    return history;
}

} // namespace pollenhall
