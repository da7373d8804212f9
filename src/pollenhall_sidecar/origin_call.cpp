// Implements attempts, retries and hedging for one caller's request.

#include "origin_call.hpp"

#include "client_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// The gate and the upstream respond by themselves at the deadline. The origin
// waits this much longer for them, so that connections can be reused.
constexpr milliseconds timeout_margin{100};
// Time for which a gate that does not accept work is excluded from selection.
constexpr milliseconds not_ready_timeout{250};
// Bounds of the base Retry-After delay of a rejected call. Jitter of up to the
// base delay is added, so that callers do not retry at the same time.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{2'000};
// A hedged attempt is sent only if the hedge delay is at most this fraction of
// the time left; the rest is needed by the second attempt.
constexpr double max_hedge_delay_fraction = 0.55;

milliseconds jittered_retry_after(milliseconds expected_wait,
                                  std::uint64_t random)
{
    auto const base =
        std::clamp(expected_wait, min_retry_after, max_retry_after).count();
    return milliseconds(base + static_cast<std::int64_t>(
                                   random % static_cast<std::uint64_t>(base)));
}

} // namespace

origin_call::origin_call(traffic_node& node,
                         std::shared_ptr<server_exchange> caller,
                         mesh_call call, mesh::route const& route)
    : node_(node), caller_(std::move(caller)), call_(std::move(call)),
      routes_(node.routes_), route_(route),
      policy_({.idempotent = route.idempotent, .max_runs = route.attempts}),
      arrived_(caller_->arrived())
{
    ++node_.open_calls_;
}

origin_call::~origin_call()
{
    --node_.open_calls_;
    node_.timers_.cancel(timeout_timer_);
    node_.timers_.cancel(hedge_timer_);
}

void origin_call::start()
{
    if (call_.metadata.is_retry)
        node_.retry_allowance_.count_retry(call_.metadata.service, arrived_);
    else
        node_.retry_allowance_.on_first_attempt(call_.metadata.service,
                                                arrived_);
    // The timer's handler owns a reference that keeps this object alive.
    timeout_timer_ =
        node_.timers_.at(call_.deadline + timeout_margin,
                         [self = shared_from_this()] { self->on_timeout(); });
    caller_->set_disconnect_handler(
        [weak = weak_from_this()]
        {
            if (auto self = weak.lock())
                self->on_disconnect();
        });
    start_attempt();
}

mesh::host_entry const* origin_call::choose_upstream()
{
    auto const now = mono_now();
    auto useful = time_left(call_.deadline, now);
    if (call_.metadata.objective.count() > 0)
        useful = std::min(useful, call_.metadata.objective);
    mesh::placement_need const need{.service = call_.metadata.service,
                                    .useful_time = useful,
                                    .retryable = route_.idempotent};
    // The route limits the number of upstreams that may receive a request.
    if (contacted_.size() < static_cast<std::size_t>(route_.attempts))
        if (auto const* untried =
                node_.placement_.choose(need, tried_, node_.random_(), now))
            return untried;
    return node_.placement_.choose_among(need, rejected_by_, node_.random_(),
                                         now);
}

void origin_call::start_attempt()
{
    auto const* host = choose_upstream();
    if (host == nullptr)
    {
        // The policy reports a rejection only if no earlier attempt may have
        // run.
        constexpr auto end = mesh::attempt_end::not_offered;
        auto const step = policy_.on_end(end, false, [] { return false; });
        return respond(step, {.end = end, .reason = "no_upstream"});
    }
    // The news of a crash may have arrived after the request.
    if (node_.is_quarantined(call_.request, call_.metadata.service))
    {
        constexpr auto end = mesh::attempt_end::quarantined;
        auto const step = policy_.on_end(end, false, [] { return false; });
        return respond(step, {.end = end, .reason = "quarantined"});
    }
    auto const number = ++attempt_count_;
    call_.metadata.expected_incarnation = host->incarnation;
    tried_.push_back(host->host);
    open_attempts_.emplace(
        number,
        open_attempt{.host = host->host,
                     .started = mono_now(),
                     .possible_crash = mesh::crash_id_of(
                         host->host, host->incarnation, host->started)});
    node_.placement_.on_sent(host->host);
    schedule_hedge();
    if (host->host == node_.options_.host)
        send_to_gate(number);
    else
        send_to_peer(number, *host);
}

void origin_call::send_to_gate(int number)
{
    auto const gate_call_number = node_.gate_.submit(
        call_,
        [weak = weak_from_this(), number](attempt_result const& result)
        {
            auto const self = weak.lock();
            if (!self || self->done_)
                return;
            auto const& host = self->node_.options_.host;
            self->node_.placement_.on_finished(host);
            self->node_.placement_.on_load_report(
                host, self->node_.gate_.load(), mono_now());
            self->on_attempt_end(number, result);
        });
    // The gate may have completed the call already.
    if (auto const found = open_attempts_.find(number);
        found != open_attempts_.end())
        found->second.gate_call_number = gate_call_number;
}

void origin_call::send_to_peer(int number, mesh::host_entry const& host)
{
    auto request = call_.request;
    request.fields.set(
        node_.options_.headers.time_left_ms,
        std::to_string(time_left(call_.deadline, mono_now()).count()));
    request.fields.set(call_metadata_header,
                       format_call_metadata(call_.metadata));
    open_attempts_.at(number).exchange = node_.peer_pool(host)->start(
        {.bytes = mesh::write_request(request),
         .is_head = request.method == "HEAD",
         .deadline = call_.deadline + timeout_margin,
         .allow_stale_connection = call_.metadata.idempotent,
         .matches =
             [name = node_.options_.headers.request_id,
              id = call_.id](mesh::http_response const& response)
         {
             auto const* echoed = response.fields.find(name);
             return echoed != nullptr && *echoed == id.value();
         },
         .on_end =
             [weak = weak_from_this(), number,
              address = host.host](exchange_result result)
         {
             auto const self = weak.lock();
             if (!self || self->done_)
                 return;
             self->node_.placement_.on_finished(address);
             self->on_attempt_end(
                 number, self->read_peer_result(self->open_attempts_.at(number),
                                                std::move(result)));
         }});
}

attempt_result origin_call::read_peer_result(open_attempt const& attempt,
                                             exchange_result result)
{
    using mesh::attempt_end;
    auto const& host = attempt.host;
    auto const now = mono_now();
    switch (result.end)
    {
    case exchange_end::not_connected:
        node_.placement_.on_unreachable(host, now);
        return {.end = attempt_end::not_offered, .reason = "peer_unreachable"};
    case exchange_end::broken:
        node_.placement_.on_unreachable(host, now);
        node_.on_call_lost(attempt.possible_crash, call_, attempt.started);
        return {.end = attempt_end::unknown, .reason = "peer_broke_off"};
    case exchange_end::timed_out:
        return {.end = attempt_end::timed_out, .reason = "peer_silent"};
    case exchange_end::too_large:
        return {.end = attempt_end::unknown, .reason = "response_too_large"};
    case exchange_end::answered:
        break;
    }
    auto const* field = result.response.fields.find(gate_report_header);
    auto const report =
        field == nullptr ? std::nullopt : parse_gate_report(*field);
    if (!report)
        return {.end = attempt_end::unknown, .reason = "peer_answer_unread"};
    result.response.fields.remove(gate_report_header);
    node_.placement_.on_load_report(host, report->load, now);
    node_.check_peer_version(report->version, host);
    if (report->gate_not_ready)
        node_.placement_.on_not_ready(host, not_ready_timeout, now);
    return {.end = report->end,
            .response = std::move(result.response),
            .reason = report->reason,
            .gate_not_ready = report->gate_not_ready,
            .retry_after = report->retry_after};
}

void origin_call::record_outcome(open_attempt const& ended,
                                 mesh::attempt_end end)
{
    if (end == mesh::attempt_end::quarantined)
        return;
    auto const now = mono_now();
    record_contact(ended.host, end);
    if (end == mesh::attempt_end::answered || end == mesh::attempt_end::failed)
        node_.response_stats_.on_response(route_.name, now - ended.started,
                                          end == mesh::attempt_end::failed);
    else
        node_.response_stats_.on_failure(route_.name);
}

void origin_call::on_attempt_end(int number, attempt_result const& result)
{
    auto const keep = shared_from_this();
    auto const ended = open_attempts_.extract(number).mapped();
    if (result.gate_not_ready)
        node_.placement_.on_not_ready(ended.host, not_ready_timeout,
                                      mono_now());
    record_outcome(ended, result.end);
    if (result.reason == upstream_crashed_reason)
        node_.on_crash_reported(ended.possible_crash, call_);
    if (!open_attempts_.empty() && result.end != mesh::attempt_end::answered)
    {
        // The other attempt may still succeed.
        policy_.on_end(result.end, false, [] { return false; });
        log_event("attempt_failed")
            .add("id", call_.id.value())
            .add("service", call_.metadata.service.value())
            .add("at", ended.host.value())
            .add("end", mesh::to_string(result.end))
            .add("reason", result.reason)
            .add("still_open",
                 static_cast<std::int64_t>(open_attempts_.size()));
        return;
    }
    node_.timers_.cancel(hedge_timer_);
    // If failures are common on this route, retrying failed requests only adds
    // load.
    bool const worth_retrying =
        result.end != mesh::attempt_end::failed ||
        node_.response_stats_.failures_are_rare(route_.name);
    auto const step = policy_.on_end(
        result.end, worth_retrying && choose_upstream() != nullptr,
        [&] { return spend_retry(); });
    if (step == mesh::next_step::reroute || step == mesh::next_step::retry)
    {
        if (step == mesh::next_step::retry)
        {
            call_.metadata.is_retry = true;
            node_.metrics_.record_extra_attempt(call_.metadata.service,
                                                result.reason);
        }
        log_event("call_placed_again")
            .add("id", call_.id.value())
            .add("service", call_.metadata.service.value())
            .add("after", mesh::to_string(result.end))
            .add("reason", result.reason)
            .add("at", ended.host.value())
            .add("counts_as_repeat", step == mesh::next_step::retry);
        return start_attempt();
    }
    cancel_attempts();
    respond(step, result);
}

void origin_call::schedule_hedge()
{
    node_.timers_.cancel(hedge_timer_);
    auto const overdue_delay = node_.response_stats_.overdue_delay(route_.name);
    auto const left = time_left(call_.deadline, mono_now());
    if (!route_.idempotent || !overdue_delay || open_attempts_.size() > 1 ||
        *overdue_delay > std::chrono::duration_cast<milliseconds>(
                             left * max_hedge_delay_fraction))
        return;
    hedge_timer_ = node_.timers_.after(*overdue_delay,
                                       [weak = weak_from_this()]
                                       {
                                           if (auto self = weak.lock())
                                               self->on_hedge_timer();
                                       });
}

void origin_call::on_hedge_timer()
{
    auto const keep = shared_from_this();
    if (done_ || open_attempts_.empty() || choose_upstream() == nullptr ||
        node_.is_quarantined(call_.request, call_.metadata.service))
        return;
    // Under overload all responses are late, and each hedged attempt would also
    // repeat its downstream calls.
    if (!node_.response_stats_.failures_are_rare(route_.name))
        return;
    auto const& waiting = open_attempts_.begin()->second;
    node_.response_stats_.on_failure(route_.name);
    log_event("answer_overdue")
        .add("id", call_.id.value())
        .add("service", call_.metadata.service.value())
        .add("at", waiting.host.value())
        .add("after_ms", std::chrono::duration_cast<milliseconds>(
                             mono_now() - waiting.started)
                             .count());
    auto const step = policy_.on_overdue([&] { return spend_retry(); });
    if (step != mesh::next_step::retry)
        return;
    record_contact(waiting.host, mesh::attempt_end::unknown);
    call_.metadata.is_retry = true;
    node_.metrics_.record_extra_attempt(call_.metadata.service,
                                        "answer_overdue");
    start_attempt();
}

bool origin_call::spend_retry()
{
    return node_.retry_allowance_.spend(call_.metadata.service,
                                        call_.metadata.rank, mono_now());
}

void origin_call::record_contact(mesh::host_address const& host,
                                 mesh::attempt_end end)
{
    if (end == mesh::attempt_end::not_offered)
        return;
    auto const add = [&](std::vector<mesh::host_address>& to)
    {
        if (std::find(to.begin(), to.end(), host) == to.end())
            to.push_back(host);
    };
    add(contacted_);
    if (end == mesh::attempt_end::not_run)
        add(rejected_by_);
    else
        std::erase(rejected_by_, host);
}

void origin_call::on_timeout()
{
    if (done_)
        return;
    auto const keep = shared_from_this();
    cancel_attempts();
    respond(mesh::next_step::time_out,
            {.end = mesh::attempt_end::timed_out, .reason = "deadline"});
}

void origin_call::on_disconnect()
{
    if (done_)
        return;
    auto const keep = shared_from_this();
    node_.metrics_.record_call(call_.metadata.service, "abandoned",
                               mono_now() - arrived_);
    cancel_attempts();
    done_ = true;
    node_.timers_.cancel(timeout_timer_);
    node_.timers_.cancel(hedge_timer_);
}

void origin_call::cancel_attempts()
{
    for (auto const& [number, item] : std::exchange(open_attempts_, {}))
    {
        node_.placement_.on_finished(item.host);
        if (item.gate_call_number)
            node_.gate_.cancel(*item.gate_call_number);
        client_pool::cancel(item.exchange);
    }
}

void origin_call::respond(mesh::next_step step, attempt_result const& result)
{
    auto const& id = call_.id.value();
    node_.metrics_.record_call(call_.metadata.service, result.reason,
                               mono_now() - arrived_);
    if (result.end == mesh::attempt_end::answered)
        node_.on_completed(call_);
    if (step == mesh::next_step::deliver)
    {
        log_event("call_answered")
            .add("id", id)
            .add("service", call_.metadata.service.value())
            .add("incarnation", call_.metadata.expected_incarnation.value())
            .add("status", result.response.status)
            .add("attempts", attempt_count_)
            .add("level", call_.metadata.rank.level)
            .add("cohort", call_.metadata.rank.cohort)
            .add("after_ms",
                 std::chrono::duration_cast<milliseconds>(mono_now() - arrived_)
                     .count())
            .add("version", call_.metadata.version.value());
        auto response = result.response;
        response.fields.remove_hop_by_hop();
        return finish(response);
    }
    auto const waited =
        std::chrono::duration_cast<milliseconds>(mono_now() - arrived_);
    log_event("call_not_served", log_level::warning)
        .add("id", id)
        .add("service", call_.metadata.service.value())
        .add("end", mesh::to_string(result.end))
        .add("reason", result.reason)
        .add("attempts", attempt_count_)
        .add("after_ms", waited.count())
        .add("time_left_ms", time_left(call_.deadline, mono_now()).count())
        .add("level", call_.metadata.rank.level)
        .add("cohort", call_.metadata.rank.cohort)
        .add("version", call_.metadata.version.value());
    switch (step)
    {
    case mesh::next_step::report_not_run:
        if (result.end == mesh::attempt_end::quarantined)
            return finish(node_.make_response(503, result.reason, id,
                                              quarantine_retry_after));
        return finish(node_.make_response(
            503, result.reason, id,
            jittered_retry_after(result.retry_after, node_.random_())));
    case mesh::next_step::time_out:
        return finish(
            node_.make_response(504, result.reason, id, milliseconds{0}));
    default:
        return finish(
            node_.make_response(502, result.reason, id, milliseconds{0}));
    }
}

void origin_call::finish(mesh::http_response const& response)
{
    done_ = true;
    node_.timers_.cancel(timeout_timer_);
    node_.timers_.cancel(hedge_timer_);
    caller_->respond(response, node_.shutdown_.has_value());
}

} // namespace pollenhall::sidecar
