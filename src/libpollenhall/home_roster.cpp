// Roster histories, home selection and the sealing of epochs.

#include <pollenhall/hashing.hpp>
#include <pollenhall/home_roster.hpp>
#include <pollenhall/key_ledger.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

// How far the issue time of a key that a home accepts may be ahead of the
// home's clock.
constexpr milliseconds max_accepted_lead = key_ledger_options{}.max_clock_lead;
// Seals that are remembered one by one; there is one for each change of the
// roster.
constexpr std::size_t max_own_seals = 64;

absl::Status check_order(std::vector<epoch_roster> const& epochs,
                         epoch_roster const& next)
{
    if (next.members.empty())
        return absl::InvalidArgumentError("roster epoch has no members");
    if (epochs.empty())
        return absl::OkStatus();
    auto const& last = epochs.back();
    if (next.number.value() != last.number.value() + 1)
        return absl::InvalidArgumentError(
            "roster epoch " + std::to_string(next.number.value()) +
            " does not follow epoch " + std::to_string(last.number.value()));
    if (next.start <= last.start)
        return absl::InvalidArgumentError(
            "roster epoch does not start after the previous epoch");
    return absl::OkStatus();
}

epoch_roster parse_epoch(json const& item)
{
    epoch_roster epoch;
    epoch.number = roster_epoch(item.at("epoch").get<std::int64_t>());
    epoch.start =
        wall_time(milliseconds(item.at("start_ms").get<std::int64_t>()));
    for (auto const& member : item.at("members"))
        epoch.members.push_back(
            {.node = node_id(member.at("node").get<std::string>()),
             .boot = boot_id(member.at("boot").get<std::int64_t>())});
    std::sort(epoch.members.begin(), epoch.members.end());
    return epoch;
}

json format_epoch(epoch_roster const& epoch)
{
    json members = json::array();
    for (auto const& member : epoch.members)
        members.push_back(
            {{"node", member.node.value()}, {"boot", member.boot.value()}});
    return {{"epoch", epoch.number.value()},
            {"start_ms", epoch.start.time_since_epoch().count()},
            {"members", members}};
}

} // namespace

absl::StatusOr<roster_history> roster_history::parse(std::string_view text)
{
    try
    {
        roster_history history;
        auto const document = json::parse(text);
        for (auto const& item : document.at("periods"))
        {
            auto epoch = parse_epoch(item);
            if (auto const status = check_order(history.epochs_, epoch);
                !status.ok())
                return status;
            history.epochs_.push_back(std::move(epoch));
        }
        return history;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(std::string("cannot parse roster: ") +
                                          error.what());
    }
}

std::string roster_history::format() const
{
    json epochs = json::array();
    for (auto const& epoch : epochs_)
        epochs.push_back(format_epoch(epoch));
    return json{{"periods", epochs}}.dump();
}

absl::Status roster_history::append(epoch_roster epoch, wall_time oldest_needed)
{
    std::sort(epoch.members.begin(), epoch.members.end());
    if (auto status = check_order(epochs_, epoch); !status.ok())
        return status;
    epochs_.push_back(std::move(epoch));
    // An epoch ends when the next one starts. The newest two are always kept:
    // the last one may not be active yet.
    while (epochs_.size() > 2 && epochs_[1].start < oldest_needed)
        epochs_.erase(epochs_.begin());
    return absl::OkStatus();
}

epoch_roster const* roster_history::find(wall_time issued) const
{
    epoch_roster const* result = nullptr;
    for (auto const& epoch : epochs_)
    {
        if (epoch.start <= issued)
            result = &epoch;
    }
    return result;
}

epoch_roster const* roster_history::latest() const
{
    return epochs_.empty() ? nullptr : &epochs_.back();
}

bool roster_history::contains_first_epoch() const
{
    return !epochs_.empty() && epochs_.front().number.value() == 1;
}

epoch_roster const* roster_history::before(roster_epoch number) const
{
    epoch_roster const* result = nullptr;
    for (auto const& epoch : epochs_)
    {
        if (epoch.number < number)
            result = &epoch;
    }
    return result;
}

roster_member const& home_of(epoch_roster const& epoch,
                             idempotency_key const& key)
{
    auto const key_hash = hash_text(key.text());
    auto const weight = [&](roster_member const& member)
    { return combine_hashes(hash_text(member.node.value()), key_hash); };
    return *std::max_element(
        epoch.members.begin(), epoch.members.end(),
        [&](roster_member const& left, roster_member const& right)
        { return weight(left) < weight(right); });
}

roster_tracker::roster_tracker(service_name service, roster_member self)
    : service_(std::move(service)), self_(std::move(self))
{
}

void roster_tracker::on_history(roster_history history)
{
    auto const* const known = history_.latest();
    auto const* const offered = history.latest();
    if (offered == nullptr ||
        (known != nullptr && offered->number <= known->number))
        return;
    // A new epoch is proposed only after the previous one has become active.
    if (auto const* const previous = history.before(offered->number))
        active_epochs_.insert(previous->number);
    history_ = std::move(history);
    if (is_active(*history_.latest()))
        active_epochs_.insert(history_.latest()->number);
}

void roster_tracker::on_member_terminated(roster_member const& member,
                                          wall_time time)
{
    auto const known = terminated_.emplace(member, time).first;
    known->second = std::min(known->second, time);
    if (auto const* const latest = history_.latest();
        latest != nullptr && is_active(*latest))
        active_epochs_.insert(latest->number);
}

seal_reply roster_tracker::on_seal_request(roster_epoch epoch, wall_time start,
                                           wall_time latest_accepted)
{
    seal_reply reply{.epoch = epoch,
                     .start = start,
                     .sealed = false,
                     .latest_accepted = latest_accepted,
                     .from = self_};
    bool const too_late = latest_accepted >= start;
    bool const older =
        !own_seals_.empty() && epoch < own_seals_.rbegin()->first;
    if (too_late || older)
        return reply;
    // If two starts were requested for one epoch, both seals must hold, so the
    // earlier start applies.
    auto const seal = own_seals_.emplace(epoch, start).first;
    seal->second = std::min(seal->second, start);
    // The two oldest become one that rejects at least as much.
    if (own_seals_.size() > max_own_seals)
    {
        auto const oldest = own_seals_.begin();
        auto const next = std::next(oldest);
        next->second = std::min(oldest->second, next->second);
        own_seals_.erase(oldest);
    }
    reply.sealed = true;
    return reply;
}

void roster_tracker::on_seal_reply(seal_reply const& reply, wall_time now)
{
    auto const* const latest = history_.latest();
    if (latest == nullptr || latest->number != reply.epoch ||
        latest->start != reply.start)
        return;
    auto const* const previous = history_.before(latest->number);
    if (previous == nullptr)
        return;
    for (auto const& member : previous->members)
    {
        if (member.node != reply.from.node)
            continue;
        if (reply.from.boot > member.boot)
            on_member_terminated(member, now);
        else if (reply.from.boot == member.boot && reply.sealed)
            seals_[{reply.epoch, reply.start}].insert(member);
    }
    if (is_active(*latest))
        active_epochs_.insert(latest->number);
}

bool roster_tracker::is_active(epoch_roster const& epoch) const
{
    if (active_epochs_.contains(epoch.number))
        return true;
    auto const* const previous = history_.before(epoch.number);
    if (previous == nullptr)
        return true;
    return std::all_of(previous->members.begin(), previous->members.end(),
                       [&](roster_member const& member) {
                           return terminated_.contains(member) ||
                                  has_sealed(member, epoch);
                       });
}

bool roster_tracker::has_sealed(roster_member const& member,
                                epoch_roster const& next) const
{
    auto const sealed_by = seals_.find({next.number, next.start});
    return sealed_by != seals_.end() && sealed_by->second.contains(member);
}

bool roster_tracker::may_have_run_before(epoch_roster const& epoch,
                                         idempotency_key const& key) const
{
    auto const* const previous = history_.before(epoch.number);
    if (previous == nullptr)
        return false;
    auto const& home = home_of(*previous, key);
    if (home == self_ || has_sealed(home, epoch))
        return false;
    // If it is not known here how the epoch has become active, the home may
    // have terminated at any time.
    auto const end = terminated_.find(home);
    return end == terminated_.end() ||
           key.issued() <= end->second + max_accepted_lead;
}

std::set<roster_member> roster_tracker::terminated() const
{
    std::set<roster_member> members;
    for (auto const& [member, time] : terminated_)
        members.insert(member);
    return members;
}

bool roster_tracker::is_latest_active() const
{
    auto const* const latest = history_.latest();
    return latest != nullptr && is_active(*latest);
}

std::vector<roster_member> roster_tracker::unsealed_members() const
{
    std::vector<roster_member> pending;
    auto const* const latest = history_.latest();
    if (latest == nullptr || is_active(*latest))
        return pending;
    auto const* const previous = history_.before(latest->number);
    for (auto const& member : previous->members)
        if (!has_sealed(member, *latest) && !terminated_.contains(member))
            pending.push_back(member);
    return pending;
}

home_check_result roster_tracker::check_home(idempotency_key const& key) const
{
    auto const* const epoch = history_.find(key.issued());
    if (epoch == nullptr)
        return home_check_result::not_home;
    if (home_of(*epoch, key) != self_)
        return home_check_result::not_home;
    if (!is_active(*epoch))
        return home_check_result::not_active;
    // A seal applies even if the roster of the newer epoch has not arrived yet.
    if (std::any_of(own_seals_.begin(), own_seals_.end(),
                    [&](auto const& seal) {
                        return epoch->number < seal.first &&
                               key.issued() >= seal.second;
                    }))
        return home_check_result::sealed;
    return may_have_run_before(*epoch, key) ? home_check_result::may_have_run
                                            : home_check_result::accepted;
}

} // namespace pollenhall
