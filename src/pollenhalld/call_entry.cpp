// Implements the entry point of calls.

#include "call_entry.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/io/log_event.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pollenhall
{
namespace
{

constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr milliseconds default_retry_after{1'000};

fingerprint fingerprint_of(caller_request const& request)
{
    auto const route = hash_text(to_string(request.kind) + " " +
                                 request.method + " " + request.target);
    return fingerprint(combine_hashes(route, hash_text(request.body)));
}

// Copies the fields that `traffic_core::record_decision` reads.
forwarded_call copy_decision_fields(forwarded_call const& call)
{
    forwarded_call fields;
    fields.trace_id = call.trace_id;
    fields.kind = call.kind;
    fields.member = call.member;
    return fields;
}

caller_answer make_request_error(int status, std::string text)
{
    caller_answer answer;
    answer.result = make_refusal(refusal::key_refused);
    answer.request_error_status = status;
    answer.request_error = std::move(text);
    return answer;
}

// A kind that is not repeatable gets all retries, because the home of the key
// retries the call itself. A kind that makes no calls has no use for retries.
retry_lending lending_of(kind_declaration const& kind)
{
    if (!kind.repeatable)
        return retry_lending::all;
    return kind.calls.empty() ? retry_lending::none : retry_lending::half;
}

route_result to_route_result(call_result const& result)
{
    switch (result.what)
    {
    case outcome::completed:
        return result.upstream_failed ? route_result::failed
                                      : route_result::completed;
    case outcome::not_run:
        return result.reason == refusal::no_upstream ? route_result::failed
                                                     : route_result::refused;
    case outcome::unknown:
        break;
    }
    // The loss of a connection between nodes is no failure of the upstream.
    return result.upstream_failed ? route_result::failed
                                  : route_result::cancelled;
}

} // namespace

call_entry::call_entry(traffic_core& core)
    : core_(core), runner_(core, [this](std::uint64_t call) { cancel(call); }),
      home_(core, home_ratio_,
            [this](forwarded_call const& call, call_handler handler)
            { return send_to_upstream(call, std::move(handler)); })
{
}

call_entry::~call_entry() = default;

call_entry::service_state& call_entry::state_of(service_name const& service)
{
    auto const found = services_.find(service);
    if (found != services_.end())
        return found->second;
    router_options options;
    options.own_zone = core_.settings.zone;
    options.cross_zone_latency = core_.settings.cross_zone_latency;
    return services_
        .emplace(service, service_state{.routes = router(options),
                                        .ratio = retry_ratio{},
                                        .round_robin_counter = core_.random()})
        .first->second;
}

std::optional<caller_answer>
call_entry::find_request_error(caller_request const& request,
                               node_view const& view) const
{
    auto const* const service = view.declarations->find(request.kind.service);
    if (service == nullptr)
        return make_request_error(not_found, "service '" +
                                                 request.kind.service.value() +
                                                 "' is not declared");
    auto const* const kind = service->find(request.kind.kind);
    if (kind == nullptr)
        return make_request_error(not_found,
                                  "service '" + request.kind.service.value() +
                                      "' declares no kind '" +
                                      request.kind.kind.value() + "'");
    if (!kind->repeatable && !request.key)
        return make_request_error(
            bad_request, "kind '" + to_string(request.kind) +
                             "' is not repeatable; it needs the header "
                             "Idempotency-Key with a UUID of version 7");
    return std::nullopt;
}

void call_entry::serve(std::uint64_t number, caller_request request,
                       answer_handler handler)
{
    auto const view = core_.view.get();
    if (auto error = find_request_error(request, *view))
    {
        handler(std::move(*error));
        return;
    }
    auto const now = mono_now();
    auto const& service = *view->declarations->find(request.kind.service);
    auto const& kind = *service.find(request.kind.kind);
    open_call open;
    open.handler = std::move(handler);
    open.kind = request.kind;
    open.owner = service.owner;
    open.level = kind.level;

    forwarded_call call;
    call.kind = request.kind;
    call.trace_id = request.trace
                        ? request.trace->trace_id
                        : make_trace_id(core_.random(), core_.random());
    call.content = fingerprint_of(request);
    call.level = kind.level;
    call.member = service.owner;
    call.lent = kind.retries;
    call.deadline = now + kind.deadline;
    if (request.timeout)
        call.deadline = std::min(call.deadline, now + *request.timeout);
    open.trace_id = call.trace_id;
    bool const has_live_parent = attach_to_parent(request, open, call, number);
    call.cohort = cohort_of(call.trace_id);
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    call.body = std::make_shared<std::string const>(std::move(request.body));
    if (!kind.repeatable)
        call.key = std::move(request.key);
    open.deadline = call.deadline;
    open.member = call.member;
    if (!open.parent)
        ++core_.counts.row({.member = open.owner, .kind = open.kind}).offered;
    bool const key_needs_home = call.key.has_value();
    open_calls_.emplace(number, std::move(open));
    if (!has_live_parent)
        finish(number, make_refusal(refusal::cancelled));
    else if (!view->accepts_work)
        finish(number, key_needs_home ? make_unknown_result()
                                      : make_refusal(refusal::stopping,
                                                     default_retry_after));
    else if (!key_needs_home && is_quarantined(call, *view))
        finish(number, make_refusal(refusal::quarantined));
    else
        start(number, std::move(call), kind);
}

// Makes a nested call a child of the call for which the upstream made it.
// Returns false if the call names a parent that has ended.
bool call_entry::attach_to_parent(caller_request const& request,
                                  open_call& open, forwarded_call& call,
                                  std::uint64_t number)
{
    if (!request.trace)
        return true;
    auto* const parent = core_.hops.find_parent(*request.trace);
    if (parent == nullptr)
        return !request.trace->parent_hop.has_value();
    parent->children.insert(number);
    open.parent = hop_registry::parent_hop_id(*request.trace);
    call.level = parent->level;
    call.member = parent->member;
    call.deadline = std::min(call.deadline, parent->deadline);
    call.work_done = parent->work_done + 1;
    if (core_.has_policy())
    {
        open.lent = parent->budget.lend_half();
        call.lent = open.lent;
    }
    return true;
}

bool call_entry::is_quarantined(forwarded_call const& call,
                                node_view const& view)
{
    auto const* const upstreams = view.find(call.kind.service);
    auto const healthy =
        upstreams == nullptr ? 0 : upstreams->candidates.size();
    return core_.guard.refuses(call.content, healthy, mono_now());
}

void call_entry::start(std::uint64_t number, forwarded_call call,
                       kind_declaration const& kind)
{
    bool const has_key = call.key.has_value();
    // The home of a key retries the call; the entry may only ask the home
    // again.
    call_plan_options const options{.repeatable = kind.repeatable,
                                    .may_use_other_upstream = !has_key,
                                    .targets_key_home = has_key,
                                    .lending = lending_of(kind),
                                    .deadline = call.deadline};
    auto& ratio = has_key ? home_ratio_ : state_of(call.kind.service).ratio;
    auto sender =
        [this, has_key](forwarded_call const& item, call_handler handler)
    {
        return has_key ? send_to_home(item, std::move(handler))
                       : send_to_upstream(item, std::move(handler));
    };
    auto const driver = std::make_shared<call_driver>(
        core_, std::move(call), options, ratio, std::move(sender),
        [this, number](call_result result)
        { finish(number, std::move(result)); });
    open_calls_.at(number).driver = driver;
    driver->start();
}

void call_entry::finish(std::uint64_t number, call_result result)
{
    auto node = open_calls_.extract(number);
    if (node.empty())
        return;
    auto& open = node.mapped();
    auto const retries = open.driver ? open.driver->retries() : 0;
    if (open.parent)
    {
        if (auto* const parent = core_.hops.find(*open.parent))
        {
            parent->children.erase(number);
            parent->budget.give_back(open.driver ? result.returned : open.lent,
                                     open.lent);
        }
    }
    record_end(open, result, retries);
    forwarded_call ended;
    ended.trace_id = open.trace_id;
    ended.kind = open.kind;
    ended.member = open.member;
    core_.record_decision(decision_point::entry, ended, result);
    caller_answer answer;
    answer.result = std::move(result);
    answer.trace_id = open.trace_id;
    open.handler(std::move(answer));
}

void call_entry::record_end(open_call const& open, call_result const& result,
                            int retries)
{
    auto& row = core_.counts.row({.member = open.owner, .kind = open.kind});
    row.retries += retries;
    if (open.parent)
        return;
    bool const in_time = mono_now() <= open.deadline;
    count_outcome(row, result.what, result.reason, in_time);
    core_.burn.note(
        {.member = open.owner, .kind = open.kind}, open.level,
        classify_end(result.what, result.reason, result.status, in_time),
        wall_now());
}

void call_entry::cancel(std::uint64_t number)
{
    auto const found = open_calls_.find(number);
    if (found == open_calls_.end() || !found->second.driver)
        return;
    auto const driver = found->second.driver;
    driver->cancel(refusal::cancelled);
}

void call_entry::post_result(call_handler handler, call_result result)
{
    asio::post(core_.context, [handler = std::move(handler),
                               result = std::move(result)]() mutable
               { handler(std::move(result)); });
}

std::optional<node_id> call_entry::choose_node(forwarded_call const& call,
                                               service_view const& upstreams,
                                               service_state& state,
                                               route_failure& failure)
{
    auto const& candidates = upstreams.candidates;
    // The baseline balances the load by round robin.
    if (!core_.has_policy() && !candidates.empty())
        return candidates[state.round_robin_counter++ % candidates.size()].node;
    auto const choice = state.routes.choose(candidates, {}, rank_of(call),
                                            mono_now(), core_.random());
    failure = choice.failure;
    return choice.node;
}

attempt_canceller call_entry::send_to_upstream(forwarded_call const& call,
                                               call_handler handler)
{
    auto const view = core_.view.get();
    auto const* const upstreams = view->find(call.kind.service);
    auto& state = state_of(call.kind.service);
    auto failure = route_failure::no_candidate;
    std::optional<node_id> node;
    if (upstreams != nullptr)
        node = choose_node(call, *upstreams, state, failure);
    if (!node)
    {
        auto result =
            make_refusal(failure == route_failure::shed ? refusal::shed
                                                        : refusal::no_upstream);
        result.returned = call.lent;
        post_result(std::move(handler), std::move(result));
        return [] {};
    }
    auto const started = mono_now();
    state.routes.on_start(*node, started);
    // After a cancellation the handler is still called for an attempt on this
    // node, but not for one on a peer. The router gets exactly one end for
    // each attempt in both cases.
    auto const reported = std::make_shared<bool>(false);
    auto const report_end =
        [&state, node = *node, started, reported](route_result result)
    {
        if (std::exchange(*reported, true))
            return;
        auto const now = mono_now();
        state.routes.on_finish(node, now, now - started, result);
    };
    auto on_result = [this, &state, node = *node, report_end,
                      decision_fields = copy_decision_fields(call),
                      handler = std::move(handler)](call_result result)
    {
        auto const now = mono_now();
        report_end(to_route_result(result));
        core_.record_decision(decision_point::attempt, decision_fields, result,
                              node);
        if (result.load.limit > 0)
            state.routes.on_hint(node, result.load, now);
        handler(std::move(result));
    };
    auto cancel = send_to_node(*node, call, std::move(on_result));
    return [report_end, cancel = std::move(cancel)]
    {
        report_end(route_result::cancelled);
        cancel();
    };
}

attempt_canceller call_entry::send_to_node(node_id const& node,
                                           forwarded_call const& call,
                                           call_handler handler)
{
    if (node == core_.settings.name)
    {
        auto const number = runner_.run(call, std::move(handler));
        return [this, number] { runner_.cancel(number); };
    }
    auto const view = core_.view.get();
    auto const peer = view->peers.find(node);
    if (peer == view->peers.end())
    {
        auto result = make_refusal(refusal::no_upstream);
        result.returned = call.lent;
        post_result(std::move(handler), std::move(result));
        return [] {};
    }
    auto const endpoint = peer->second.endpoint;
    auto record_lost = [this, node, boot = peer->second.boot,
                        content = call.content, deadline = call.deadline,
                        handler = std::move(handler)](call_result result)
    {
        if (result.what == outcome::unknown && !result.from_peer &&
            mono_now() < deadline)
            on_call_lost(node, boot, content);
        handler(std::move(result));
    };
    auto const id = core_.links->call(endpoint, call, std::move(record_lost));
    return [this, endpoint, id] { core_.links->cancel(endpoint, id); };
}

void call_entry::on_call_lost(node_id const& node, boot_id boot,
                              fingerprint content)
{
    // A node ends once in each boot. The node beside the upstream makes its id
    // from the incarnation of the upstream, which is not known here.
    crash_id const possible_crash(combine_hashes(
        hash_text(node.value()), static_cast<std::uint64_t>(boot.value())));
    auto suspicions = core_.guard.on_crash(possible_crash, std::array{content},
                                           mono_now(), false);
    if (suspicions.empty())
        return;
    log_event("request_suspected")
        .add("peer", node.value())
        .add("content", static_cast<std::int64_t>(content.value() >> 1))
        .add("confirmed", false);
    core_.share_suspicions(std::move(suspicions));
}

attempt_canceller call_entry::send_to_home(forwarded_call const& call,
                                           call_handler handler)
{
    auto const lookup = home_.find_home(call.kind.service, *call.key);
    auto const answer = [&](call_result result)
    {
        result.returned = call.lent;
        post_result(std::move(handler), std::move(result));
        return attempt_canceller([] {});
    };
    switch (lookup.presence)
    {
    case home_presence::not_known:
        return answer(make_home_unreachable_result());
    case home_presence::gone:
        return answer(make_unknown_result());
    case home_presence::never_ran:
        return answer(make_refusal(refusal::home_gone, default_retry_after));
    case home_presence::present:
        break;
    }
    if (lookup.home == core_.settings.name)
    {
        home_.run(call, std::move(handler));
        return [] {};
    }
    // Even if nothing was sent now, another entry may have sent the key before.
    // Only the home can tell that the key did not run.
    auto correct_result =
        [handler = std::move(handler), lent = call.lent](call_result result)
    {
        if (!result.from_peer)
        {
            bool const was_sent = result.what == outcome::unknown;
            result = make_home_unreachable_result();
            result.returned = was_sent ? retry_count(0) : lent;
        }
        handler(std::move(result));
    };
    return send_to_node(lookup.home, call, std::move(correct_result));
}

attempt_canceller call_entry::serve_peer(forwarded_call call,
                                         call_handler handler)
{
    auto const kind = call.kind;
    auto with_load =
        [this, kind, handler = std::move(handler)](call_result result)
    {
        result.load = load_for(kind);
        handler(std::move(result));
    };
    if (call.key && !call.delegated)
    {
        auto record_and_answer =
            [this, decision_fields = copy_decision_fields(call),
             handler = std::move(with_load)](call_result result)
        {
            core_.record_decision(decision_point::home, decision_fields,
                                  result);
            handler(std::move(result));
        };
        home_.run(std::move(call), std::move(record_and_answer));
        return [] {};
    }
    // With 2 healthy upstreams only the number of crashes counts.
    if (core_.guard.refuses(call.content, 2, mono_now()))
    {
        auto result = make_refusal(refusal::quarantined);
        result.returned = call.lent;
        post_result(std::move(with_load), std::move(result));
        return [] {};
    }
    auto const number = runner_.run(std::move(call), std::move(with_load));
    return [this, number] { runner_.cancel(number); };
}

load_hint call_entry::load_for(kind_ref const& kind)
{
    auto load = runner_.load();
    auto const view = core_.view.get();
    auto const* const declaration = view->declarations->find(kind);
    if (declaration == nullptr)
        return load;
    for (auto const& target : declaration->calls)
    {
        auto const* const upstreams = view->find(target.service);
        if (upstreams == nullptr)
            continue;
        auto const threshold = threshold_for_callers(
            state_of(target.service)
                .routes.lowest_threshold(upstreams->candidates, mono_now()));
        load.admitted_rank = std::max(load.admitted_rank, threshold);
    }
    return load;
}

} // namespace pollenhall
