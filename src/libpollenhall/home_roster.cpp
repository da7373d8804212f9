// Roster histories, home selection and the sealing of epochs.

#include <pollenhall/hashing.hpp>
#include <pollenhall/home_roster.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

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

void roster_tracker::on_member_terminated(roster_member const& member)
{
    terminated_.insert(member);
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
    bool const older = epoch < sealed_epoch_;
    if (too_late || older)
        return reply;
    // If two starts were requested for one epoch, both seals must hold, so the
    // earlier start applies.
    sealed_from_ = sealed_from_ && epoch == sealed_epoch_
                       ? std::min(*sealed_from_, start)
                       : start;
    sealed_epoch_ = epoch;
    reply.sealed = true;
    return reply;
}

void roster_tracker::on_seal_reply(seal_reply const& reply)
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
            terminated_.insert(member);
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
    auto const sealed_by = seals_.find({epoch.number, epoch.start});
    return std::all_of(previous->members.begin(), previous->members.end(),
                       [&](roster_member const& member)
                       {
                           return terminated_.contains(member) ||
                                  (sealed_by != seals_.end() &&
                                   sealed_by->second.contains(member));
                       });
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
    auto const sealed_by = seals_.find({latest->number, latest->start});
    for (auto const& member : previous->members)
    {
        bool const has_sealed =
            sealed_by != seals_.end() && sealed_by->second.contains(member);
        if (!has_sealed && !terminated_.contains(member))
            pending.push_back(member);
    }
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
    if (sealed_from_ && key.issued() >= *sealed_from_ &&
        epoch->number < sealed_epoch_)
        return home_check_result::sealed;
    return home_check_result::accepted;
}

} // namespace pollenhall
