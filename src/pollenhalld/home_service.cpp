// The home of idempotency keys.

#include "home_service.hpp"

#include <pollenhall/io/log_event.hpp>

#include <variant>

namespace pollenhall
{
namespace
{

// Maximum lead of a key's issue time over the home's clock; see
// `key_ledger_options`.
constexpr milliseconds max_clock_lead = key_ledger_options{}.max_clock_lead;
constexpr milliseconds retry_delay{1'000};
// Minimum time between two lookups of the process behind an endpoint that
// refuses connections.
constexpr milliseconds refusal_lookup_interval{1'000};
constexpr std::size_t max_refusing_endpoints = 4'096;

std::size_t size_of(call_result const& result)
{
    std::size_t size = result.body.size();
    for (auto const& header : result.headers)
        size += header.name.size() + header.value.size();
    return size;
}

// Overloads for std::visit.
template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

home_service::home_service(traffic_core& core, retry_ratio& ratio,
                           attempt_sender send_attempt)
    : core_(core), ratio_(ratio), send_attempt_(std::move(send_attempt)),
      process_ends_({.node = core.settings.name, .boot = core.boot}, wall_now())
{
}

roster_tracker& home_service::find_or_add_tracker(service_name const& service)
{
    auto const found = trackers_.find(service);
    if (found != trackers_.end())
        return found->second;
    auto const view = core_.view.get();
    roster_member const self{.node = view->self.node, .boot = view->self.boot};
    return trackers_.emplace(service, roster_tracker(service, self))
        .first->second;
}

void home_service::refresh()
{
    auto const view = core_.view.get();
    for (auto const& [service, history] : *view->rosters)
    {
        auto& tracker = find_or_add_tracker(service);
        tracker.on_history(history);
        update_terminated_members(tracker, *view);
        request_seals(tracker, *view);
    }
    ledger_.expire(wall_now());
}

// A member has certainly terminated if it announced that it left, or if
// `process_ends` knows a time of termination.
void home_service::update_terminated_members(roster_tracker& tracker,
                                             node_view const& view)
{
    auto const* const latest = tracker.history().latest();
    if (latest == nullptr)
        return;
    auto const check = [&](roster_member const& member)
    {
        auto const peer = view.peers.find(member.node);
        bool const said_goodbye = peer != view.peers.end() &&
                                  peer->second.boot == member.boot &&
                                  peer->second.life == peer_liveness::left;
        auto const end = termination_time(member, view);
        if (end || said_goodbye)
            tracker.on_member_terminated(member, end.value_or(wall_now()));
    };
    for (auto const& member : latest->members)
        check(member);
    if (auto const* const previous = tracker.history().before(latest->number))
    {
        for (auto const& member : previous->members)
            check(member);
    }
}

void home_service::request_seals(roster_tracker& tracker, node_view const& view)
{
    for (auto const& member : tracker.unsealed_members())
    {
        auto const& latest = *tracker.history().latest();
        wire::seal_request request;
        request.service_name = tracker.service().value();
        request.epoch = latest.number.value();
        request.start_ms = latest.start.time_since_epoch().count();
        if (member.node == view.self.node)
        {
            on_seal_answer(answer_seal_request(request));
            continue;
        }
        auto const peer = view.peers.find(member.node);
        if (peer == view.peers.end())
            continue;
        wire::frame frame;
        frame.__set_seal(request);
        core_.links->post(peer->second.endpoint, frame);
    }
}

wire::seal_answer
home_service::answer_seal_request(wire::seal_request const& request)
{
    auto& tracker = find_or_add_tracker(service_name(request.service_name));
    auto const reply = tracker.on_seal_request(
        roster_epoch(request.epoch), wall_time(milliseconds(request.start_ms)),
        ledger_.latest_issued());
    wire::seal_answer answer;
    answer.service_name = request.service_name;
    answer.epoch = request.epoch;
    answer.start_ms = request.start_ms;
    answer.sealed = reply.sealed;
    answer.latest_accepted_ms =
        reply.latest_accepted.time_since_epoch().count();
    answer.node = reply.from.node.value();
    answer.boot = reply.from.boot.value();
    return answer;
}

void home_service::on_seal_answer(wire::seal_answer const& answer)
{
    auto& tracker = find_or_add_tracker(service_name(answer.service_name));
    bool const was_active = tracker.is_latest_active();
    tracker.on_seal_reply(
        {.epoch = roster_epoch(answer.epoch),
         .start = wall_time(milliseconds(answer.start_ms)),
         .sealed = answer.sealed,
         .latest_accepted = wall_time(milliseconds(answer.latest_accepted_ms)),
         .from = {.node = node_id(answer.node), .boot = boot_id(answer.boot)}},
        wall_now());
    if (!was_active && tracker.is_latest_active())
        log_event("roster_active")
            .add("service", answer.service_name)
            .add("epoch", answer.epoch);
}

void home_service::on_refused(peer_endpoint const& endpoint)
{
    auto const now = mono_now();
    auto const [lookup, is_new] = refusal_lookups_.emplace(endpoint, now);
    if (!is_new && now < lookup->second + refusal_lookup_interval)
        return;
    lookup->second = now;
    if (refusal_lookups_.size() >= max_refusing_endpoints)
        refusal_lookups_.clear();
    auto const view = core_.view.get();
    for (auto const& [node, info] : view->peers)
    {
        if (info.endpoint == endpoint)
            process_ends_.on_connection_refused(
                {.node = node, .boot = info.boot}, wall_now());
    }
}

std::optional<wall_time>
home_service::termination_time(roster_member const& process,
                               node_view const& view) const
{
    auto const peer = view.peers.find(process.node);
    return process_ends_.termination_time(
        process, peer == view.peers.end() ? nullptr : &peer->second);
}

home_lookup home_service::find_home(service_name const& service,
                                    idempotency_key const& key) const
{
    auto const found = trackers_.find(service);
    if (found == trackers_.end())
        return {};
    auto const& history = found->second.history();
    auto const* const epoch = history.find(key.issued());
    if (epoch == nullptr)
    {
        // A key issued before the first epoch has no home. If the history no
        // longer contains the first epoch, a dropped epoch may cover the key.
        if (history.contains_first_epoch())
            return {.presence = home_presence::never_ran, .home = {}};
        return {};
    }
    auto const& home = home_of(*epoch, key);
    // The home can have run only keys that were issued before it terminated,
    // plus the maximum clock lead.
    if (auto const end = termination_time(home, *core_.view.get()))
        return {.presence = key.issued() > *end + max_clock_lead
                                ? home_presence::never_ran
                                : home_presence::gone,
                .home = {}};
    return {.presence = home_presence::present, .home = home.node};
}

call_result home_service::make_not_home_result(roster_tracker const& tracker,
                                               idempotency_key const& key) const
{
    auto const* const epoch = tracker.history().find(key.issued());
    if (epoch == nullptr)
        return make_home_unreachable_result();
    // If the home was an earlier process of this node, this process decides: a
    // key that the earlier process cannot have accepted has not run.
    auto const& home = home_of(*epoch, key);
    if (home.node != core_.settings.name)
        return make_home_unreachable_result();
    auto const end = termination_time(home, *core_.view.get());
    if (end && key.issued() > *end + max_clock_lead)
        return make_refusal(refusal::home_gone, retry_delay);
    return make_unknown_result();
}

void home_service::run(forwarded_call call, call_handler handler)
{
    auto& tracker = find_or_add_tracker(call.kind.service);
    auto const& key = *call.key;
    auto const reject = [&](call_result result)
    {
        result.returned = call.lent;
        handler(std::move(result));
    };
    switch (tracker.check_home(key))
    {
    case home_check_result::accepted:
        start(std::move(call), std::move(handler));
        return;
    case home_check_result::not_active:
        reject(make_refusal(refusal::home_not_ready, retry_delay));
        return;
    case home_check_result::sealed:
        reject(make_home_unreachable_result());
        return;
    case home_check_result::may_have_run:
        reject(make_unknown_result());
        return;
    case home_check_result::not_home:
        reject(make_not_home_result(tracker, key));
        return;
    }
}

void home_service::start(forwarded_call call, call_handler handler)
{
    auto const key = *call.key;
    auto const lent = call.lent;
    auto const verdict = ledger_.admit(key, call.content, wall_now());
    auto const answer = [&](call_result result)
    {
        result.returned = lent;
        handler(std::move(result));
    };
    std::visit(
        overloaded{
            [&](key_may_run)
            {
                waiters_[key].push_back(std::move(handler));
                call.delegated = true;
                call_plan_options const options{.repeatable = false,
                                                .may_use_other_upstream = true,
                                                .deadline = call.deadline};
                std::make_shared<call_driver>(
                    core_, std::move(call), options, ratio_, send_attempt_,
                    [this, key](call_result const& result)
                    { on_end(key, result); })
                    ->start();
            },
            [&](key_is_running)
            {
                waiters_[key].push_back(
                    [handler = std::move(handler), lent](call_result result)
                    {
                        result.returned = lent;
                        handler(std::move(result));
                    });
            },
            [&](key_completed<call_result> const& completed)
            { answer(*completed.answer); },
            [&](key_unknown) { answer(make_unknown_result()); },
            [&](key_not_accepted const& refused)
            {
                log_event("key_refused", log_level::warning)
                    .add("key", key.text())
                    .add("reason", refused.reason);
                answer(make_refusal(refusal::key_refused));
            }},
        verdict);
}

void home_service::on_end(idempotency_key const& key, call_result const& result)
{
    switch (result.what)
    {
    case outcome::completed:
        ledger_.on_completed(key, std::make_shared<call_result const>(result),
                             size_of(result));
        break;
    case outcome::not_run:
        ledger_.on_not_run(key);
        break;
    case outcome::unknown:
        ledger_.on_unknown(key);
        break;
    }
    auto node = waiters_.extract(key);
    if (node.empty())
        return;
    for (auto const& handler : node.mapped())
        handler(result);
}

std::vector<roster_status> home_service::roster_statuses() const
{
    std::vector<roster_status> statuses;
    for (auto const& [service, tracker] : trackers_)
    {
        auto const* const latest = tracker.history().latest();
        if (latest != nullptr)
            statuses.push_back({.service = service,
                                .latest = latest->number,
                                .active = tracker.is_latest_active(),
                                .terminated = tracker.terminated()});
    }
    return statuses;
}

} // namespace pollenhall
