// Implements the admission gate: queueing, forwarding to the local upstream,
// and crash detection.

#include "gate.hpp"

#include "client_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// Interval at which expired calls are removed from the queue.
constexpr milliseconds queue_expiry_interval{20};
// The upstream responds by itself at a call's deadline. The gate waits this
// much longer for that response, so that the connection can be reused.
constexpr milliseconds deadline_margin{60};
// If a connection attempt to the upstream fails, connections that broke within
// this time before are attributed to a crash of the upstream.
constexpr milliseconds crash_window{1'000};
// The same if a heartbeat shows that the upstream has started again. Longer,
// because heartbeats are seconds apart.
constexpr milliseconds new_start_window{4'000};
// Time after a broken connection until the other connections to the upstream
// show whether it has ended.
constexpr milliseconds liveness_check_delay{20};
constexpr milliseconds liveness_probe_timeout{150};
// A call with less time left than this is not forwarded.
constexpr milliseconds min_run_time{5};

} // namespace

gate::gate(asio::io_context& context, deadline_timers& timers,
           gate_options options, node_metrics& metrics)
    : metrics_(metrics), timers_(timers), options_(std::move(options)),
      pool_(std::make_shared<client_pool>(
          context, timers, options_.upstream_address,
          client_pool_options{.memory_budget = options_.memory_budget})),
      queue_(options_.queue)
{
}

void gate::set_upstream(std::optional<mesh::registered_upstream> upstream)
{
    bool const replaced =
        upstream_ && upstream &&
        upstream_->last.incarnation != upstream->last.incarnation;
    // An upstream that starts again without having left has crashed, even if
    // it was back before a connection attempt failed. The start time of one
    // that leaves may be assumed.
    bool const started_again =
        replaced || (upstream_ && upstream && !upstream->left &&
                     upstream_->last.started && upstream->last.started &&
                     *upstream_->last.started != *upstream->last.started);
    if (started_again)
    {
        // If the end of the upstream did not break the connections, its calls
        // are still waiting. After a restart with the same incarnation they may
        // belong to the new process.
        if (replaced)
            record_running_calls();
        report_crash(mono_now(), crash_evidence::new_start);
    }
    upstream_ = std::move(upstream);
    if (replaced)
        pool_->close_idle();
    if (upstream_ && upstream_->last.slots > 0)
        queue_.set_slots(upstream_->last.slots);
    if (!upstream_ || !upstream_->accepts_work())
        reject_waiting_calls();
    start_ready_calls();
}

std::optional<std::string>
gate::reason_not_ready(call_metadata const& metadata) const
{
    if (metadata.service != options_.service)
        return "other_service";
    if (!upstream_)
        return "no_upstream";
    if (upstream_->left)
        return "upstream_left";
    if (upstream_->last.draining)
        return "upstream_draining";
    // The expected incarnation is not compared. After a restart of all
    // upstreams the origins know only the earlier ones, and this node, which
    // knows the current one, puts it into the request.
    return std::nullopt;
}

milliseconds gate::max_wait(mesh_call const& call) const
{
    if (call.metadata.objective.count() == 0)
        return options_.default_max_wait;
    return std::chrono::duration_cast<milliseconds>(call.metadata.objective *
                                                    options_.max_wait_fraction);
}

mesh::gate_call_id gate::submit(mesh_call call, attempt_handler on_end)
{
    mesh::gate_call_id const number{++last_number_};
    auto const now = mono_now();
    if (auto const reason = reason_not_ready(call.metadata))
    {
        on_end({.end = mesh::attempt_end::not_offered,
                .reason = *reason,
                .gate_not_ready = true});
        return number;
    }
    auto const rejection = queue_.offer({.number = number,
                                         .rank = call.metadata.rank,
                                         .arrived = now,
                                         .deadline = call.deadline,
                                         .max_wait = max_wait(call)},
                                        now);
    if (rejection)
    {
        on_end({.end = mesh::attempt_end::not_offered,
                .reason = std::string(mesh::to_string(*rejection)),
                .retry_after = queue_.expected_wait()});
        return number;
    }
    calls_.emplace(number, active_call{.call = std::move(call),
                                       .on_end = std::move(on_end),
                                       .arrived = now});
    start_ready_calls();
    expire_waiting_calls();
    return number;
}

void gate::cancel(mesh::gate_call_id number)
{
    held_.erase(number);
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return;
    auto& item = found->second;
    if (!item.running)
    {
        queue_.cancel(number);
        calls_.erase(found);
        return;
    }
    item.on_end = nullptr;
    if (!item.call.metadata.idempotent)
        return;
    client_pool::cancel(item.exchange);
    // A caller may give up before the upstream crashes on its request.
    record_unanswered_call(item, mono_now(), false);
    queue_.on_finished(std::nullopt, false, mono_now());
    erase_running(found->second.call.id, number);
    calls_.erase(found);
    start_ready_calls();
}

void gate::erase_running(request_id const& id, mesh::gate_call_id number)
{
    auto const found = running_.find(id);
    if (found != running_.end() && found->second == number)
        running_.erase(found);
}

call_metadata const* gate::find_running(request_id const& id) const
{
    auto const found = running_.find(id);
    if (found == running_.end())
        return nullptr;
    return &calls_.at(found->second).call.metadata;
}

void gate::start_ready_calls()
{
    auto startable = queue_.take_startable();
    while (!startable.empty())
    {
        for (auto const& next : startable)
            run(next.number);
        // A call without enough time left releases its slot immediately, so
        // that further calls may start.
        startable = queue_.take_startable();
    }
}

void gate::run(mesh::gate_call_id number)
{
    auto& item = calls_.at(number);
    auto const now = mono_now();
    item.running = true;
    item.started = now;
    running_.insert_or_assign(item.call.id, number);
    auto const left = time_left(item.call.deadline, now);
    if (left < min_run_time)
    {
        queue_.on_finished(std::nullopt, false, now);
        finish(number, {.end = mesh::attempt_end::not_offered,
                        .reason = "no_time_left"});
        return;
    }
    if (is_quarantined_ && is_quarantined_(item.call))
    {
        queue_.on_finished(std::nullopt, false, now);
        finish(number, {.end = mesh::attempt_end::quarantined,
                        .reason = "quarantined"});
        return;
    }
    // The upstream may have been replaced while the call waited.
    if (upstream_)
        item.call.metadata.expected_incarnation = upstream_->last.incarnation;
    auto& request = item.call.request;
    request.fields.set(options_.headers.time_left_ms,
                       std::to_string(left.count()));
    request.fields.set(options_.headers.expected_incarnation,
                       item.call.metadata.expected_incarnation.value());
    item.exchange = pool_->start(
        {.bytes = mesh::write_request(request),
         .is_head = request.method == "HEAD",
         .deadline = item.call.deadline + deadline_margin,
         // A non-idempotent request is not sent on a stale connection: if the
         // upstream has closed it, the request may not be retried.
         .allow_stale_connection = item.call.metadata.idempotent,
         .matches =
             [name = options_.headers.request_id,
              id = item.call.id](mesh::http_response const& response)
         {
             auto const* echoed = response.fields.find(name);
             return echoed != nullptr && *echoed == id.value();
         },
         .id = item.call.id.value(),
         .is_rejection = [name = options_.headers.not_run](
                             mesh::http_response const& response)
         { return response.fields.find(name) != nullptr; },
         .on_end = [this, number](exchange_result result)
         { on_exchange_end(number, std::move(result)); }});
}

attempt_result gate::classify_result(exchange_result result) const
{
    using mesh::attempt_end;
    switch (result.end)
    {
    case exchange_end::not_connected:
        return {.end = attempt_end::not_offered,
                .reason = "upstream_not_connected",
                .gate_not_ready = true};
    case exchange_end::broken:
        return {.end = attempt_end::unknown, .reason = "upstream_broke_off"};
    case exchange_end::timed_out:
        return {.end = attempt_end::timed_out, .reason = "upstream_silent"};
    case exchange_end::too_large:
        return {.end = attempt_end::unknown, .reason = "response_too_large"};
    case exchange_end::answered:
        break;
    }
    auto const& fields = result.response.fields;
    if (fields.find(options_.headers.not_run) != nullptr)
        return {.end = attempt_end::not_run,
                .response = std::move(result.response),
                .reason = "upstream_refused"};
    bool const is_signed = fields.find(options_.headers.signature) != nullptr;
    if (!is_signed || (fields.find("Content-Encoding") != nullptr))
        return {.end = attempt_end::unknown,
                .reason = "answer_not_of_upstream"};
    bool const failed = result.response.status >= 500;
    return {.end = failed ? attempt_end::failed : attempt_end::answered,
            .response = std::move(result.response),
            .reason = failed ? "upstream_failed" : "answered"};
}

void gate::on_exchange_end(mesh::gate_call_id number, exchange_result result)
{
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return;
    auto const now = mono_now();
    auto const& item = found->second;
    if (result.end != exchange_end::answered)
        log_event("upstream_exchange_failed", log_level::warning)
            .add("id", item.call.id.value())
            .add("end", to_string(result.end))
            .add("detail", result.detail)
            .add("after_ms",
                 std::chrono::duration_cast<milliseconds>(now - item.started)
                     .count());
    bool const broken = result.end == exchange_end::broken;
    bool const timed_out = result.end == exchange_end::timed_out;
    if (broken || timed_out)
        record_unanswered_call(item, now, timed_out);
    else if (result.end == exchange_end::not_connected)
        report_crash(now, crash_evidence::refused_connection);
    auto outcome = classify_result(std::move(result));
    if (outcome.end == mesh::attempt_end::answered && on_completed_)
        on_completed_(item.call);
    metrics_.record_gate_call(outcome.reason, item.started - item.arrived,
                              now - item.started);
    metrics_.record_gate_load(queue_.running(), queue_.queued(),
                              queue_.load(now).limit);
    bool const failed = outcome.end != mesh::attempt_end::answered &&
                        outcome.end != mesh::attempt_end::failed;
    queue_.on_finished(now - item.started, failed, now);
    if (broken)
        hold(number, std::move(outcome));
    else
        finish(number, std::move(outcome));
    start_ready_calls();
}

void gate::hold(mesh::gate_call_id number, attempt_result result)
{
    auto node = calls_.extract(number);
    erase_running(node.mapped().call.id, number);
    if (node.mapped().on_end)
        held_.emplace(number,
                      held_call{.on_end = std::move(node.mapped().on_end),
                                .result = std::move(result)});
    if (checking_liveness_)
        return;
    checking_liveness_ = true;
    timers_.after(liveness_check_delay, [this] { check_liveness(); });
}

void gate::check_liveness()
{
    // A process that ends closes all of its connections. One that is open shows
    // that the upstream lives, without the cost of a new connection.
    if (pool_->has_idle_connection())
    {
        checking_liveness_ = false;
        return release_held_calls(false);
    }
    pool_->probe(liveness_probe_timeout,
                 [this](probe_result result)
                 {
                     checking_liveness_ = false;
                     bool const ended = result == probe_result::refused;
                     if (ended)
                         report_crash(mono_now(),
                                      crash_evidence::refused_connection);
                     release_held_calls(ended);
                 });
}

void gate::release_held_calls(bool crashed)
{
    for (auto& [number, item] : std::exchange(held_, {}))
    {
        if (crashed)
            item.result.reason = upstream_crashed_reason;
        item.on_end(std::move(item.result));
    }
}

void gate::record_unanswered_call(active_call const& item, mono_time now,
                                  bool timed_out)
{
    std::erase_if(unanswered_calls_, [&](auto const& old)
                  { return now - old.ended > new_start_window; });
    unanswered_calls_.push_back({.ended = now,
                                 .started = item.started,
                                 .content = fingerprint_of(item.call.request),
                                 .timed_out = timed_out});
}

void gate::record_running_calls()
{
    auto const now = mono_now();
    for (auto const& [number, item] : calls_)
        if (item.running)
            record_unanswered_call(item, now, true);
}

void gate::report_crash(mono_time now, crash_evidence evidence)
{
    // The end of an upstream that leaves is planned.
    if (upstream_ && !upstream_->accepts_work())
        return unanswered_calls_.clear();
    bool const restarted = evidence == crash_evidence::new_start;
    auto const window = restarted ? new_start_window : crash_window;
    auto const suspects_begin = std::partition(
        unanswered_calls_.begin(), unanswered_calls_.end(),
        [&](auto const& item) {
            return now - item.ended > window || (item.timed_out && !restarted);
        });
    std::vector<unanswered_call> suspects(suspects_begin,
                                          unanswered_calls_.end());
    unanswered_calls_.erase(suspects_begin, unanswered_calls_.end());
    if (suspects.empty())
        return;
    std::sort(suspects.begin(), suspects.end(),
              [](auto const& left, auto const& right)
              { return left.started > right.started; });
    upstream_crash crash;
    if (upstream_)
    {
        crash.incarnation = upstream_->last.incarnation;
        crash.started = upstream_->last.started;
    }
    for (auto const& item : suspects)
        crash.in_flight.push_back(item.content);
    log_event("upstream_crashed", log_level::warning)
        .add("incarnation", crash.incarnation.value())
        .add("in_flight", static_cast<std::int64_t>(crash.in_flight.size()));
    if (on_crash_)
        on_crash_(std::move(crash));
}

void gate::finish(mesh::gate_call_id number, attempt_result result)
{
    auto node = calls_.extract(number);
    if (node.empty())
        return;
    erase_running(node.mapped().call.id, number);
    if (node.mapped().on_end)
        node.mapped().on_end(std::move(result));
}

void gate::reject_waiting_calls()
{
    std::vector<mesh::gate_call_id> waiting;
    for (auto const& [number, item] : calls_)
        if (!item.running)
            waiting.push_back(number);
    for (auto const number : waiting)
    {
        queue_.cancel(number);
        finish(number, {.end = mesh::attempt_end::not_offered,
                        .reason = "upstream_leaves",
                        .gate_not_ready = true});
    }
}

void gate::schedule_expiry()
{
    if (expiry_scheduled_ || queue_.queued() == 0)
        return;
    expiry_scheduled_ = true;
    timers_.after(queue_expiry_interval,
                  [this]
                  {
                      expiry_scheduled_ = false;
                      expire_waiting_calls();
                  });
}

void gate::expire_waiting_calls()
{
    for (auto const& dropped : queue_.take_dropped(mono_now()))
        finish(dropped.number,
               {.end = mesh::attempt_end::not_offered,
                .reason = std::string(mesh::to_string(dropped.reason)),
                .retry_after = queue_.expected_wait()});
    schedule_expiry();
}

mesh::upstream_load gate::load() const
{
    return queue_.load(mono_now());
}

} // namespace pollenhall::sidecar
