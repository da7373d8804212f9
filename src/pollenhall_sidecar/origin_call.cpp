// Attempts of one caller's request.

#include "origin_call.hpp"

#include "client_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// The gate and the upstream answer in time by themselves; the origin waits
// this much longer before it ends a call, so that connections can be kept.
constexpr milliseconds timeout_margin{100};
// How long a gate that takes no work is left out.
constexpr milliseconds not_ready_pause{250};
// Shortest and longest time that a refused caller is asked to stay away; the
// spread keeps callers from coming back together.
constexpr milliseconds least_retry_after{150};
constexpr milliseconds most_retry_after{2'000};
// An overdue answer is only given up while this share of the time is left for
// another attempt.
constexpr double most_patience_share = 0.55;

milliseconds spread_retry_after(milliseconds expected, std::uint64_t random)
{
    auto const base =
        std::clamp(expected, least_retry_after, most_retry_after).count();
    return milliseconds(base + static_cast<std::int64_t>(
                                   random % static_cast<std::uint64_t>(base)));
}

} // namespace

origin_call::origin_call(traffic_node& node,
                         std::shared_ptr<server_connection> caller,
                         mesh_call call, mesh::route const& route)
    : node_(node), caller_(std::move(caller)), call_(std::move(call)),
      routes_(node.routes_), route_(route),
      policy_({.idempotent = route.idempotent, .attempts = route.attempts}),
      arrived_(mono_now())
{
    ++node_.open_calls_;
}

origin_call::~origin_call()
{
    --node_.open_calls_;
    node_.timers_.cancel(timeout_);
    node_.timers_.cancel(overdue_);
}

void origin_call::start()
{
    if (call_.terms.is_repeat)
        node_.allowance_.count(call_.terms.service, arrived_);
    else
        node_.allowance_.on_first_attempt(call_.terms.service, arrived_);
    // The timer and the caller's connection keep the call alive.
    timeout_ =
        node_.timers_.at(call_.deadline + timeout_margin,
                         [self = shared_from_this()] { self->on_timeout(); });
    caller_->on_abandoned(
        [weak = weak_from_this()]
        {
            if (auto self = weak.lock())
                self->on_abandoned();
        });
    attempt();
}

mesh::host_entry const* origin_call::choose()
{
    auto const now = mono_now();
    auto useful = time_left(call_.deadline, now);
    if (call_.terms.objective.count() > 0)
        useful = std::min(useful, call_.terms.objective);
    mesh::placement_need const need{.service = call_.terms.service,
                                    .useful_time = useful,
                                    .repeatable = route_.idempotent};
    // A route says to how many upstreams a request may be sent.
    if (reached_.size() < static_cast<std::size_t>(route_.attempts))
        if (auto const* fresh =
                node_.placement_.choose(need, tried_, node_.random_(), now))
            return fresh;
    return node_.placement_.choose_among(need, refused_by_, node_.random_(),
                                         now);
}

void origin_call::attempt()
{
    auto const* host = choose();
    if (host == nullptr)
    {
        // "Not run" only if no earlier attempt may have run.
        constexpr auto end = mesh::attempt_end::not_offered;
        auto const step = policy_.on_end(end, false, [] { return false; });
        return answer(step, {.end = end, .reason = "no_upstream"});
    }
    auto const number = ++attempts_;
    call_.terms.expected = host->incarnation;
    tried_.push_back(host->host);
    open_.emplace(number,
                  open_attempt{.host = host->host, .began = mono_now()});
    node_.placement_.on_sent(host->host);
    watch_answer();
    if (host->host == node_.options_.host)
        send_to_gate(number);
    else
        send_to_peer(number, *host);
}

void origin_call::send_to_gate(int number)
{
    auto const at_gate = node_.gate_.submit(
        call_,
        [weak = weak_from_this(), number](attempt_result const& result)
        {
            auto const self = weak.lock();
            if (!self || self->done_)
                return;
            auto const& host = self->node_.options_.host;
            self->node_.placement_.on_finished(host);
            self->node_.placement_.on_load(host, self->node_.gate_.load(),
                                           mono_now());
            self->on_attempt_end(number, result);
        });
    // The gate may have answered already.
    if (auto const found = open_.find(number); found != open_.end())
        found->second.at_gate = at_gate;
}

void origin_call::send_to_peer(int number, mesh::host_entry const& host)
{
    auto request = call_.request;
    request.fields.set(
        node_.options_.headers.time_left_ms,
        std::to_string(time_left(call_.deadline, mono_now()).count()));
    request.fields.set(terms_field, write_terms(call_.terms));
    open_.at(number).exchange = node_.peer_pool(host)->start(
        {.bytes = mesh::write_request(request),
         .head = request.method == "HEAD",
         .deadline = call_.deadline + timeout_margin,
         .old_connection_allowed = call_.terms.idempotent,
         .matches =
             [name = node_.options_.headers.request_id,
              id = call_.id](mesh::http_response const& response)
         {
             auto const* echoed = response.fields.find(name);
             return echoed != nullptr && *echoed == id.value();
         },
         .on_end =
             [weak = weak_from_this(), number,
              at = host.host](exchange_result result)
         {
             auto const self = weak.lock();
             if (!self || self->done_)
                 return;
             self->node_.placement_.on_finished(at);
             self->on_attempt_end(
                 number, self->read_peer_result(at, std::move(result)));
         }});
}

attempt_result origin_call::read_peer_result(mesh::host_address const& host,
                                             exchange_result result)
{
    using mesh::attempt_end;
    auto const now = mono_now();
    switch (result.end)
    {
    case exchange_end::not_connected:
        node_.placement_.on_unreachable(host, now);
        return {.end = attempt_end::not_offered, .reason = "peer_unreachable"};
    case exchange_end::broken:
        node_.placement_.on_unreachable(host, now);
        return {.end = attempt_end::unknown, .reason = "peer_broke_off"};
    case exchange_end::timed_out:
        return {.end = attempt_end::timed_out, .reason = "peer_silent"};
    case exchange_end::answered:
        break;
    }
    auto const* field = result.response.fields.find(result_field);
    auto const report = field == nullptr ? std::nullopt : parse_report(*field);
    if (!report)
        return {.end = attempt_end::unknown, .reason = "peer_answer_unread"};
    result.response.fields.remove(result_field);
    node_.placement_.on_load(host, report->load, now);
    node_.note_version(report->version, host);
    if (report->gate_not_ready)
        node_.placement_.on_not_ready(host, not_ready_pause, now);
    return {.end = report->end,
            .response = std::move(result.response),
            .reason = report->reason,
            .gate_not_ready = report->gate_not_ready,
            .retry_after = report->retry_after};
}

void origin_call::note_answer(open_attempt const& ended, mesh::attempt_end end)
{
    auto const now = mono_now();
    note_reached(ended.host, end);
    if (end == mesh::attempt_end::answered || end == mesh::attempt_end::failed)
        node_.answers_.on_answer(route_.name, now - ended.began,
                                 end == mesh::attempt_end::failed);
    else
        node_.answers_.on_failure(route_.name);
}

void origin_call::on_attempt_end(int number, attempt_result const& result)
{
    auto const keep = shared_from_this();
    auto const ended = open_.extract(number).mapped();
    if (result.gate_not_ready)
        node_.placement_.on_not_ready(ended.host, not_ready_pause, mono_now());
    note_answer(ended, result.end);
    if (!open_.empty() && result.end != mesh::attempt_end::answered)
    {
        // The other attempt may still bring an answer.
        policy_.on_end(result.end, false, [] { return false; });
        log_event("attempt_failed")
            .add("id", call_.id.value())
            .add("service", call_.terms.service.value())
            .add("at", ended.host.value())
            .add("end", mesh::to_string(result.end))
            .add("reason", result.reason)
            .add("still_open", static_cast<std::int64_t>(open_.size()));
        return;
    }
    node_.timers_.cancel(overdue_);
    // Where many requests fail, repeating whole ones adds to the load.
    bool const worth_repeating = result.end != mesh::attempt_end::failed ||
                                 node_.answers_.failures_are_rare(route_.name);
    auto const step =
        policy_.on_end(result.end, worth_repeating && choose() != nullptr,
                       [&] { return spend_repeat(); });
    if (step == mesh::next_step::place_again || step == mesh::next_step::repeat)
    {
        if (step == mesh::next_step::repeat)
        {
            call_.terms.is_repeat = true;
            node_.metrics_.note_repeat(call_.terms.service, result.reason);
        }
        log_event("call_placed_again")
            .add("id", call_.id.value())
            .add("service", call_.terms.service.value())
            .add("after", mesh::to_string(result.end))
            .add("reason", result.reason)
            .add("at", ended.host.value())
            .add("counts_as_repeat", step == mesh::next_step::repeat);
        return attempt();
    }
    cancel_attempts();
    answer(step, result);
}

void origin_call::watch_answer()
{
    node_.timers_.cancel(overdue_);
    auto const patience = node_.answers_.patience(route_.name);
    auto const left = time_left(call_.deadline, mono_now());
    if (!route_.idempotent || !patience || open_.size() > 1 ||
        *patience > std::chrono::duration_cast<milliseconds>(
                        left * most_patience_share))
        return;
    overdue_ = node_.timers_.after(*patience,
                                   [weak = weak_from_this()]
                                   {
                                       if (auto self = weak.lock())
                                           self->on_overdue();
                                   });
}

void origin_call::on_overdue()
{
    auto const keep = shared_from_this();
    if (done_ || open_.empty() || choose() == nullptr)
        return;
    // Under pressure all answers are late, and each repeat repeats the calls
    // below it.
    if (!node_.answers_.failures_are_rare(route_.name))
        return;
    auto const& waiting = open_.begin()->second;
    node_.answers_.on_failure(route_.name);
    log_event("answer_overdue")
        .add("id", call_.id.value())
        .add("service", call_.terms.service.value())
        .add("at", waiting.host.value())
        .add("after_ms", std::chrono::duration_cast<milliseconds>(mono_now() -
                                                                  waiting.began)
                             .count());
    auto const step = policy_.on_overdue([&] { return spend_repeat(); });
    if (step != mesh::next_step::repeat)
        return;
    note_reached(waiting.host, mesh::attempt_end::unknown);
    call_.terms.is_repeat = true;
    node_.metrics_.note_repeat(call_.terms.service, "answer_overdue");
    attempt();
}

bool origin_call::spend_repeat()
{
    return node_.allowance_.spend(call_.terms.service, call_.terms.rank,
                                  mono_now());
}

void origin_call::note_reached(mesh::host_address const& host,
                               mesh::attempt_end end)
{
    if (end == mesh::attempt_end::not_offered)
        return;
    auto const add = [&](std::vector<mesh::host_address>& to)
    {
        if (std::find(to.begin(), to.end(), host) == to.end())
            to.push_back(host);
    };
    add(reached_);
    if (end == mesh::attempt_end::not_run)
        add(refused_by_);
    else
        std::erase(refused_by_, host);
}

void origin_call::on_timeout()
{
    if (done_)
        return;
    auto const keep = shared_from_this();
    cancel_attempts();
    answer(mesh::next_step::time_out,
           {.end = mesh::attempt_end::timed_out, .reason = "deadline"});
}

void origin_call::on_abandoned()
{
    if (done_)
        return;
    auto const keep = shared_from_this();
    node_.metrics_.note_call(call_.terms.service, "abandoned",
                             mono_now() - arrived_);
    cancel_attempts();
    done_ = true;
    node_.timers_.cancel(timeout_);
    node_.timers_.cancel(overdue_);
}

void origin_call::cancel_attempts()
{
    for (auto const& [number, item] : std::exchange(open_, {}))
    {
        node_.placement_.on_finished(item.host);
        if (item.at_gate)
            node_.gate_.cancel(*item.at_gate);
        client_pool::cancel(item.exchange);
    }
}

void origin_call::answer(mesh::next_step step, attempt_result const& result)
{
    auto const& id = call_.id.value();
    node_.metrics_.note_call(call_.terms.service, result.reason,
                             mono_now() - arrived_);
    if (step == mesh::next_step::deliver)
    {
        log_event("call_answered")
            .add("id", id)
            .add("service", call_.terms.service.value())
            .add("incarnation", call_.terms.expected.value())
            .add("status", result.response.status)
            .add("attempts", attempts_)
            .add("level", call_.terms.rank.level)
            .add("cohort", call_.terms.rank.cohort)
            .add("after_ms",
                 std::chrono::duration_cast<milliseconds>(mono_now() - arrived_)
                     .count())
            .add("version", call_.terms.version.value());
        auto response = result.response;
        response.fields.remove_hop_by_hop();
        return finish(mesh::write_response(
            response, call_.request.method,
            node_.stopping_ ? "Connection: close\r\n" : ""));
    }
    auto const waited =
        std::chrono::duration_cast<milliseconds>(mono_now() - arrived_);
    log_event("call_not_served", log_level::warning)
        .add("id", id)
        .add("service", call_.terms.service.value())
        .add("end", mesh::to_string(result.end))
        .add("reason", result.reason)
        .add("attempts", attempts_)
        .add("after_ms", waited.count())
        .add("time_left_ms", time_left(call_.deadline, mono_now()).count())
        .add("level", call_.terms.rank.level)
        .add("cohort", call_.terms.rank.cohort)
        .add("version", call_.terms.version.value());
    switch (step)
    {
    case mesh::next_step::refuse:
        return finish(node_.own_answer(
            503, result.reason, id,
            spread_retry_after(result.retry_after, node_.random_())));
    case mesh::next_step::time_out:
        return finish(
            node_.own_answer(504, result.reason, id, milliseconds{0}));
    default:
        return finish(
            node_.own_answer(502, result.reason, id, milliseconds{0}));
    }
}

void origin_call::finish(std::string bytes)
{
    done_ = true;
    node_.timers_.cancel(timeout_);
    node_.timers_.cancel(overdue_);
    caller_->respond(std::move(bytes), node_.stopping_);
}

} // namespace pollenhall::sidecar
