// Implements rosters and the promises that separate their epochs.

#include <pollenhall/hashing.hpp>
#include <pollenhall/home_roster.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

absl::Status check_order(std::vector<roster_period> const& periods,
                         roster_period const& next)
{
    if (next.members.empty())
        return absl::InvalidArgumentError("roster epoch has no member");
    if (periods.empty())
        return absl::OkStatus();
    auto const& last = periods.back();
    if (next.number.value() != last.number.value() + 1)
        return absl::InvalidArgumentError(
            "roster epoch " + std::to_string(next.number.value()) +
            " does not follow " + std::to_string(last.number.value()));
    if (next.start <= last.start)
        return absl::InvalidArgumentError(
            "roster epoch starts before its predecessor");
    return absl::OkStatus();
}

roster_period parse_period(json const& item)
{
    roster_period period;
    period.number = roster_epoch(item.at("epoch").get<std::int64_t>());
    period.start =
        wall_time(milliseconds(item.at("start_ms").get<std::int64_t>()));
    for (auto const& member : item.at("members"))
        period.members.push_back(
            {.node = node_id(member.at("node").get<std::string>()),
             .boot = boot_id(member.at("boot").get<std::int64_t>())});
    std::sort(period.members.begin(), period.members.end());
    return period;
}

json format_period(roster_period const& period)
{
    json members = json::array();
    for (auto const& member : period.members)
        members.push_back(
            {{"node", member.node.value()}, {"boot", member.boot.value()}});
    return {{"epoch", period.number.value()},
            {"start_ms", period.start.time_since_epoch().count()},
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
            auto period = parse_period(item);
            if (auto const status = check_order(history.periods_, period);
                !status.ok())
                return status;
            history.periods_.push_back(std::move(period));
        }
        return history;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(
            std::string("roster is not readable: ") + error.what());
    }
}

std::string roster_history::format() const
{
    json periods = json::array();
    for (auto const& period : periods_)
        periods.push_back(format_period(period));
    return json{{"periods", periods}}.dump();
}

absl::Status roster_history::append(roster_period period,
                                    wall_time oldest_needed)
{
    std::sort(period.members.begin(), period.members.end());
    if (auto status = check_order(periods_, period); !status.ok())
        return status;
    periods_.push_back(std::move(period));
    // An epoch ends where the next one starts; the newest two always stay.
    while (periods_.size() > 2 && periods_[1].start < oldest_needed)
        periods_.erase(periods_.begin());
    return absl::OkStatus();
}

roster_period const* roster_history::find(wall_time issued) const
{
    roster_period const* result = nullptr;
    for (auto const& period : periods_)
    {
        if (period.start <= issued)
            result = &period;
    }
    return result;
}

roster_period const* roster_history::latest() const
{
    return periods_.empty() ? nullptr : &periods_.back();
}

bool roster_history::starts_with_first() const
{
    return !periods_.empty() && periods_.front().number.value() == 1;
}

roster_period const* roster_history::before(roster_epoch number) const
{
    roster_period const* result = nullptr;
    for (auto const& period : periods_)
    {
        if (period.number < number)
            result = &period;
    }
    return result;
}

roster_member const& home_of(roster_period const& period,
                             idempotency_key const& key)
{
    auto const key_hash = hash_text(key.text());
    auto const weight = [&](roster_member const& member)
    { return combine_hashes(hash_text(member.node.value()), key_hash); };
    return *std::max_element(
        period.members.begin(), period.members.end(),
        [&](roster_member const& left, roster_member const& right)
        { return weight(left) < weight(right); });
}

home_keeper::home_keeper(service_name service, roster_member self)
    : service_(std::move(service)), self_(std::move(self))
{
}

void home_keeper::on_history(roster_history history)
{
    auto const* const known = history_.latest();
    auto const* const offered = history.latest();
    if (offered == nullptr ||
        (known != nullptr && offered->number <= known->number))
        return;
    // Only an active epoch is ever followed by another.
    if (auto const* const previous = history.before(offered->number))
        active_.insert(previous->number);
    history_ = std::move(history);
    if (is_active(*history_.latest()))
        active_.insert(history_.latest()->number);
}

void home_keeper::on_gone(roster_member const& member)
{
    gone_.insert(member);
    if (auto const* const latest = history_.latest();
        latest != nullptr && is_active(*latest))
        active_.insert(latest->number);
}

seal_reply home_keeper::on_seal_request(roster_epoch epoch, wall_time start,
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
    // Of two starts for one epoch the earlier promise must hold as well.
    sealed_from_ = sealed_from_ && epoch == sealed_epoch_
                       ? std::min(*sealed_from_, start)
                       : start;
    sealed_epoch_ = epoch;
    reply.sealed = true;
    return reply;
}

void home_keeper::on_seal_reply(seal_reply const& reply)
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
            gone_.insert(member);
        else if (reply.from.boot == member.boot && reply.sealed)
            promises_[{reply.epoch, reply.start}].insert(member);
    }
    if (is_active(*latest))
        active_.insert(latest->number);
}

bool home_keeper::is_active(roster_period const& period) const
{
    if (active_.contains(period.number))
        return true;
    auto const* const previous = history_.before(period.number);
    if (previous == nullptr)
        return true;
    auto const promised = promises_.find({period.number, period.start});
    return std::all_of(previous->members.begin(), previous->members.end(),
                       [&](roster_member const& member)
                       {
                           return gone_.contains(member) ||
                                  (promised != promises_.end() &&
                                   promised->second.contains(member));
                       });
}

bool home_keeper::is_latest_active() const
{
    auto const* const latest = history_.latest();
    return latest != nullptr && is_active(*latest);
}

std::vector<roster_member> home_keeper::to_ask() const
{
    std::vector<roster_member> missing;
    auto const* const latest = history_.latest();
    if (latest == nullptr || is_active(*latest))
        return missing;
    auto const* const previous = history_.before(latest->number);
    auto const promised = promises_.find({latest->number, latest->start});
    for (auto const& member : previous->members)
    {
        bool const has_promised =
            promised != promises_.end() && promised->second.contains(member);
        if (!has_promised && !gone_.contains(member))
            missing.push_back(member);
    }
    return missing;
}

home_verdict home_keeper::judge(idempotency_key const& key) const
{
    auto const* const period = history_.find(key.issued());
    if (period == nullptr)
        return home_verdict::not_home;
    if (home_of(*period, key) != self_)
        return home_verdict::not_home;
    if (!is_active(*period))
        return home_verdict::not_active;
    // A promise for a later epoch holds even before its roster arrives.
    if (sealed_from_ && key.issued() >= *sealed_from_ &&
        period->number < sealed_epoch_)
        return home_verdict::sealed;
    return home_verdict::accepted;
}

} // namespace pollenhall
