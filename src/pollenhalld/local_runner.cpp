// Implements the execution of calls on the upstream beside this node.

#include "local_runner.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/io/http_names.hpp>
#include <pollenhall/io/log_event.hpp>

#include <asio/post.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

// Interval at which queued calls are checked for timeouts.
constexpr milliseconds queue_check_interval{5};
constexpr std::size_t max_idle_connections = 64;
// If the upstream starts again, connections that broke within this time before
// are attributed to its crash.
constexpr milliseconds new_start_window{4'000};

} // namespace

local_runner::local_runner(traffic_core& core, child_canceller cancel_child)
    : core_(core), cancel_child_(std::move(cancel_child)),
      client_(std::make_shared<upstream_client>(max_idle_connections)),
      pool_({.max_threads =
                 static_cast<std::size_t>(core.settings.upstream_connections)}),
      queue_check_timer_(core.context)
{
    make_queue(concurrency_options{}.initial);
}

local_runner::~local_runner() = default;

void local_runner::make_queue(int slots)
{
    bool const accepting = queue_ && queue_->accepting();
    dispatch_options options;
    options.concurrency.max = core_.settings.upstream_connections;
    options.concurrency.initial = std::min(slots, options.concurrency.max);
    if (!core_.has_policy())
    {
        // The baseline sheds nothing and starts calls at once, up to the
        // limit on connections.
        options.concurrency.initial = options.concurrency.max;
        options.concurrency.min = options.concurrency.max;
        options.admission.target_wait_share = 2;
        options.max_wait_share = 2;
        options.max_wait = std::chrono::hours{1};
        options.class_share.fill(1.0);
    }
    queue_ = std::make_unique<dispatch_queue>(options);
    queue_->set_accepting(accepting);
}

void local_runner::set_upstream(announced_upstream const& upstream)
{
    bool const restarted = upstream.incarnation != upstream_.incarnation ||
                           upstream.endpoint != upstream_.endpoint;
    if (restarted)
        report_broken_calls();
    upstream_ = upstream;
    // The queue's measurements of the previous process do not apply to the new
    // one. The queue can only be replaced while no call is in it or running.
    if (restarted && calls_.empty())
        make_queue(upstream.slots > 0 ? upstream.slots
                                      : concurrency_options{}.initial);
}

void local_runner::set_accepting(bool accepting)
{
    queue_->set_accepting(accepting);
}

load_hint local_runner::load() const
{
    return {.running = queue_->running(),
            .queued = queue_->queued(),
            .limit = queue_->limit(),
            .admitted_rank = queue_->admitted_rank(),
            .accepting = queue_->accepting()};
}

call_number local_runner::run(forwarded_call call, call_handler handler)
{
    auto const now = mono_now();
    auto const number = call_number(next_number_++);
    queued_call const entry{.number = number,
                            .rank = rank_of(call),
                            .member = call.member,
                            .arrived = now,
                            .deadline = call.deadline};
    calls_.emplace(number, local_call{.call = std::move(call),
                                      .handler = std::move(handler),
                                      .hop = std::nullopt,
                                      .exchange = nullptr});
    if (auto const reason = queue_->offer(entry, now))
    {
        // Posted, so that the caller has the number before its handler is
        // called.
        asio::post(core_.context, [this, number, reason = *reason]
                   { finish_refused(number, reason); });
        return number;
    }
    process_queue();
    return number;
}

void local_runner::process_queue()
{
    auto const now = mono_now();
    for (auto const& dropped : queue_->take_dropped(now))
        finish_refused(dropped.number, dropped.reason);
    for (auto const& call : queue_->take_startable(now))
        start(call.number);
    if (queue_->queued() > 0)
        schedule_queue_check();
}

void local_runner::schedule_queue_check()
{
    if (queue_check_scheduled_)
        return;
    queue_check_scheduled_ = true;
    queue_check_timer_.expires_after(queue_check_interval);
    queue_check_timer_.async_wait(
        [this](asio::error_code error)
        {
            queue_check_scheduled_ = false;
            if (!error)
                process_queue();
        });
}

std::vector<http_header>
local_runner::extra_headers(local_call const& item) const
{
    auto const& call = item.call;
    auto const left =
        std::chrono::duration_cast<milliseconds>(call.deadline - mono_now());
    std::vector<http_header> headers{
        {.name = std::string(http_names::traceparent),
         .value = format_traceparent(call.trace_id, *item.hop)},
        {.name = std::string(http_names::tracestate),
         .value = format_tracestate(*item.hop)},
        {.name = std::string(http_names::timeout),
         .value = std::to_string(left.count())}};
    if (call.key)
        headers.push_back({.name = std::string(http_names::idempotency_key),
                           .value = "\"" + call.key->text() + "\""});
    return headers;
}

void local_runner::start(call_number number)
{
    auto& item = calls_.at(number);
    // The news of a crash may have arrived while the call was queued. With 2
    // healthy upstreams only the number of crashes counts.
    if (core_.guard.refuses(item.call.content, 2, mono_now()))
    {
        queue_->on_finished(number, mono_now(), false);
        finish_refused(number, refusal::quarantined);
        return;
    }
    running_hop hop;
    hop.trace_id = item.call.trace_id;
    hop.member = item.call.member;
    hop.level = item.call.level;
    hop.work_done = item.call.work_done;
    hop.deadline = item.call.deadline;
    hop.budget = retry_budget(item.call.lent);
    item.hop = core_.hops.add(std::move(hop));
    item.started = mono_now();
    item.exchange = std::make_shared<exchange_handle>();
    auto task = [this, number, client = client_, call = item.call,
                 endpoint = upstream_.endpoint, headers = extra_headers(item),
                 handle = item.exchange]
    {
        auto result = client->exchange(endpoint, call, headers, *handle);
        asio::post(core_.context,
                   [this, number, result = std::move(result)]() mutable
                   { finish(number, std::move(result)); });
    };
    pool_.run(std::move(task));
}

retry_count local_runner::end_hop(local_call const& ended)
{
    auto const hop = core_.hops.remove(*ended.hop);
    if (!hop)
        return retry_count(0);
    for (auto const child : hop->children)
        cancel_child_(child);
    return hop->budget.unspent();
}

void local_runner::finish(call_number number, exchange_result ended)
{
    auto const now = mono_now();
    auto node = calls_.extract(number);
    if (node.empty())
        return;
    auto& item = node.mapped();
    bool const latency_counts = ended.result.what == outcome::completed;
    queue_->on_finished(number, now, latency_counts);
    process_exchange_result(item, ended, now);
    count_run(item, ended, now);
    record_result(item.call, ended.result, now);
    ended.result.returned = end_hop(item);
    ended.result.load = load();
    item.handler(std::move(ended.result));
    process_queue();
}

void local_runner::process_exchange_result(local_call const& ended,
                                           exchange_result const& result,
                                           mono_time now)
{
    if (result.result.reason == refusal::upstream_refused)
        queue_->on_upstream_shed(now);
    if (result.unreachable)
        core_.report_unreachable();
    if (result.result.what == outcome::completed)
        core_.guard.on_completed(ended.call.content, now);
    if (result.crashed)
    {
        std::vector<fingerprint> in_flight{ended.call.content};
        // The latest start comes first; the numbers of the calls are in order
        // of arrival.
        for (auto item = calls_.rbegin(); item != calls_.rend(); ++item)
            if (item->second.hop)
                in_flight.push_back(item->second.call.content);
        report_crash(std::move(in_flight));
        core_.report_unreachable();
    }
    else if (result.broken)
        broken_calls_.push_back({.broken = now, .content = ended.call.content});
}

void local_runner::report_broken_calls()
{
    auto const now = mono_now();
    std::vector<fingerprint> in_flight;
    for (auto const& item : std::exchange(broken_calls_, {}))
        if (now - item.broken <= new_start_window)
            in_flight.insert(in_flight.begin(), item.content);
    if (!in_flight.empty())
        report_crash(std::move(in_flight));
}

void local_runner::report_crash(std::vector<fingerprint> in_flight)
{
    // All calls that fail in one crash get the same id, because it is made
    // from the incarnation of the upstream.
    auto const crash =
        crash_id(combine_hashes(hash_text(core_.settings.name.value()),
                                hash_text(upstream_.incarnation)));
    auto suspicions = core_.guard.on_crash(crash, in_flight, mono_now());
    if (!suspicions.empty())
    {
        log_event("upstream_crashed", log_level::warning)
            .add("service", upstream_.service.value())
            .add("incarnation", upstream_.incarnation)
            .add("suspects", static_cast<std::int64_t>(suspicions.size()));
        core_.share_suspicions(std::move(suspicions));
    }
}

void local_runner::count_run(local_call const& ended,
                             exchange_result const& result, mono_time now)
{
    if (result.result.what == outcome::not_run)
        return;
    auto const view = core_.view.get();
    auto const* const service =
        view->declarations->find(ended.call.kind.service);
    if (service == nullptr)
        return;
    auto& row =
        core_.counts.row({.member = service->owner, .kind = ended.call.kind});
    ++row.upstream_runs;
    auto const& caller = ended.call.member;
    if (caller == service->owner)
        return;
    auto const time =
        std::chrono::duration_cast<milliseconds>(now - ended.started).count();
    ++row.runs_for_others;
    row.lent_ms += time;
    auto& borrower =
        core_.counts.row({.member = caller, .kind = ended.call.kind});
    ++borrower.runs_borrowed;
    borrower.borrowed_ms += time;
}

void local_runner::record_result(forwarded_call const& call,
                                 call_result const& result, mono_time now)
{
    core_.record_decision(decision_point::upstream, call, result);
    auto const view = core_.view.get();
    auto const* const service = view->declarations->find(call.kind.service);
    if (service == nullptr)
        return;
    core_.burn.note({.member = service->owner,
                     .kind = call.kind,
                     .place = measurement_point::upstream},
                    call.level,
                    classify_end(result.what, result.reason, result.status,
                                 now <= call.deadline),
                    wall_now());
}

void local_runner::finish_refused(call_number number, refusal reason)
{
    auto node = calls_.extract(number);
    if (node.empty())
        return;
    auto result = make_refusal(reason);
    record_result(node.mapped().call, result, mono_now());
    result.returned = node.mapped().call.lent;
    result.load = load();
    node.mapped().handler(std::move(result));
}

void local_runner::cancel(call_number number)
{
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return;
    if (queue_->cancel(number))
    {
        finish_refused(number, refusal::cancelled);
        return;
    }
    bool const may_abort = !found->second.call.key;
    if (may_abort && found->second.exchange)
        found->second.exchange->cancel();
}

} // namespace pollenhall
