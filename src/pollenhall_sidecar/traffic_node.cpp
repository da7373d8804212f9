// Implements request handling for callers and peers, quarantine, and graceful
// shutdown.

#include "traffic_node.hpp"

#include "origin_call.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace pollenhall::sidecar
{

namespace
{

// Timeout of a request whose caller does not send one.
constexpr milliseconds default_caller_timeout{10'000};
// Peers on the same network connect within a few milliseconds. A peer that does
// not is partitioned or down, and another upstream is tried.
constexpr milliseconds peer_connect_timeout{300};
// The server side keeps idle peer connections longer than the client side
// reuses them, so that it does not close a connection that is about to be used.
constexpr milliseconds peer_idle_timeout{60'000};
constexpr milliseconds peer_pool_idle_timeout{20'000};
// Retry-After delay while the node has no configuration.
constexpr milliseconds no_configuration_retry_after{300};
constexpr milliseconds stop_check_interval{50};
// Maximum number of requests suspected after a crash. The most recently started
// ones are chosen, as the cause started shortly before the crash.
constexpr std::size_t max_suspects = 32;
// Time in which the calls that were lost with a peer are collected.
constexpr milliseconds lost_calls_delay{50};
// Fraction of the process's memory that connections may buffer. A body can be
// in memory three times: as read, as forwarded, and in kernel buffers.
constexpr double held_memory_fraction = 0.2;
// Retry-After delay while the memory budget is exhausted: the time in which a
// caller on a slow connection reads a response and so frees memory.
constexpr milliseconds memory_retry_after{500};
// Time that the platform takes to restart the process.
constexpr milliseconds restart_time{800};

std::optional<milliseconds> parse_ms(std::string const* text)
{
    if (text == nullptr)
        return std::nullopt;
    std::int64_t value = 0;
    auto const [end, error] =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{} || end != text->data() + text->size() || value < 0)
        return std::nullopt;
    return milliseconds(value);
}

} // namespace

traffic_node::traffic_node(asio::io_context& context, node_options options,
                           node_metrics& metrics)
    : metrics_(metrics), context_(context), options_(std::move(options)),
      timers_(context),
      memory_budget_(
          std::make_shared<mesh::byte_budget>(static_cast<std::size_t>(
              held_memory_fraction *
              static_cast<double>(options_.memory_limit_bytes)))),
      gate_(context, timers_,
            {.service = options_.service,
             .upstream_address = options_.upstream,
             .headers = options_.headers,
             .memory_budget = memory_budget_},
            metrics),
      placement_({.own_zone = options_.zone, .own_host = options_.host}),
      retry_allowance_(options_.retries),
      caller_listener_(
          context, timers_,
          {.on_request = [this](auto const& from, auto request)
           { on_caller_request(from, std::move(request)); },
           .on_request_error =
               [this](request_error error)
           {
               int const status = error == request_error::header_too_large ? 431
                                  : error == request_error::body_too_large ? 413
                                  : error == request_error::read_timeout   ? 408
                                                                         : 400;
               log_event("request_not_readable", log_level::warning)
                   .add("status", status)
                   .add("bytes_held",
                        static_cast<std::int64_t>(memory_budget_->held()));
               return make_response(status, "not_readable", {},
                                    milliseconds{0});
           },
           .limits =
               [this]
           {
               mesh::caller_limits const limits =
                   routes_ ? routes_->config().limits : mesh::caller_limits{};
               return server_limits{
                   .reader = {.header_bytes = limits.header_bytes,
                              .body_bytes = limits.body_bytes},
                   .header_timeout = limits.header_timeout,
                   .idle_timeout = limits.idle_timeout};
           },
           .memory_budget = memory_budget_,
           .on_no_memory =
               [this](mesh::http_fields const&)
           {
               log_large_body_rejected();
               return make_response(503, "not_readable", {},
                                    memory_retry_after);
           }}),
      peer_listener_(
          context, timers_,
          {.on_request = [this](auto const& from, auto request)
           { on_peer_request(from, std::move(request)); },
           .on_request_error =
               [this](request_error)
           {
               log_event("peer_request_not_readable", log_level::warning);
               return make_response(400, "not_readable", {}, milliseconds{0});
           },
           .limits =
               []
           {
               // Peers have already enforced the size limits of callers; their
               // header is larger by one field.
               return server_limits{.reader = {.header_bytes = 65'536},
                                    .idle_timeout = peer_idle_timeout};
           },
           .memory_budget = memory_budget_,
           .on_no_memory =
               [this](mesh::http_fields const& fields)
           {
               log_large_body_rejected();
               auto const* id = fields.find(options_.headers.request_id);
               return make_peer_response(request_id(id == nullptr ? "" : *id),
                                         {.end = mesh::attempt_end::not_offered,
                                          .reason = "no_memory",
                                          .retry_after = memory_retry_after});
           }}),
      crash_guard_({.max_suspicions_per_crash = max_suspects}),
      random_(std::random_device{}()), pauses_({}, mono_now())
{
}

void traffic_node::log_large_body_rejected() const
{
    log_event("request_not_readable", log_level::warning)
        .add("status", 503)
        .add("bytes_held", static_cast<std::int64_t>(memory_budget_->held()));
}

absl::Status traffic_node::open()
{
    gate_.set_crash_handler([this](upstream_crash const& crash)
                            { on_crash(crash); });
    gate_.set_quarantine_check(
        [this](mesh_call const& call)
        { return is_quarantined(call.request, call.metadata.service); });
    gate_.set_completion_handler([this](mesh_call const& call)
                                 { on_completed(call); });
    tick();
    if (auto status = caller_listener_.open(options_.outbound); !status.ok())
        return status;
    return peer_listener_.open(options_.gate);
}

void traffic_node::tick()
{
    auto const pause = pauses_.on_tick(mono_now());
    if (pause.count() > 0)
        log_event("process_paused", log_level::warning)
            .add("for_ms", pause.count());
    timers_.after(mesh::pause_detector_options{}.tick_interval,
                  [this] { tick(); });
}

mono_time traffic_node::arrival_of(server_exchange const& exchange) const
{
    return std::min(exchange.arrived(), pauses_.earliest_arrival(mono_now()));
}

void traffic_node::set_routes(std::shared_ptr<mesh::route_table const> routes)
{
    routes_ = std::move(routes);
}

void traffic_node::set_hosts(std::vector<mesh::host_entry> hosts)
{
    placement_.set_hosts(hosts, mono_now());
    retry_allowance_.set_node_count(hosts.size());
    std::erase_if(peer_pools_,
                  [&](auto const& item)
                  {
                      return std::none_of(hosts.begin(), hosts.end(),
                                          [&](auto const& host)
                                          { return host.host == item.first; });
                  });
}

void traffic_node::set_upstream(
    std::optional<mesh::registered_upstream> upstream)
{
    gate_.set_upstream(std::move(upstream));
}

void traffic_node::on_crash(upstream_crash const& crash)
{
    publish_suspicions(crash_guard_.on_crash(
        mesh::crash_id_of(options_.host, crash.incarnation, crash.started),
        crash.in_flight, mono_now()));
}

void traffic_node::publish_suspicions(std::vector<crash_suspicion> suspicions)
{
    if (suspicions.empty())
        return;
    has_suspicions_ = true;
    for (auto const& item : suspicions)
        log_event("request_suspected")
            .add("content",
                 static_cast<std::int64_t>(item.content.value() >> 1))
            .add("crash", static_cast<std::int64_t>(item.crash.value() >> 1))
            .add("confirmed", item.confirmed);
    if (on_suspicions_)
        on_suspicions_(std::move(suspicions));
}

void traffic_node::on_call_lost(crash_id possible_crash, mesh_call const& call,
                                mono_time started)
{
    if (lost_calls_.empty())
        timers_.after(lost_calls_delay, [this] { report_lost_calls(); });
    lost_calls_[possible_crash].push_back(
        {.started = started, .content = fingerprint_of(call.request)});
}

void traffic_node::report_lost_calls()
{
    for (auto& [crash, calls] : std::exchange(lost_calls_, {}))
    {
        std::sort(calls.begin(), calls.end(),
                  [](auto const& left, auto const& right)
                  { return left.started > right.started; });
        std::vector<fingerprint> in_flight;
        for (auto const& item : calls)
            in_flight.push_back(item.content);
        publish_suspicions(
            crash_guard_.on_crash(crash, in_flight, mono_now(), false));
    }
}

void traffic_node::on_crash_reported(crash_id crash, mesh_call const& call)
{
    // The peer publishes the suspicion.
    has_suspicions_ = true;
    crash_guard_.on_crash(crash, std::array{fingerprint_of(call.request)},
                          mono_now());
}

void traffic_node::add_suspicions(
    std::vector<crash_suspicion> const& suspicions)
{
    for (auto const& suspicion : suspicions)
    {
        has_suspicions_ = true;
        if (crash_guard_.add(suspicion, mono_now()))
            log_event("crash_suspicion_heard")
                .add("crash",
                     static_cast<std::int64_t>(suspicion.crash.value() >> 1))
                .add("content",
                     static_cast<std::int64_t>(suspicion.content.value() >> 1))
                .add("confirmed", suspicion.confirmed);
    }
}

bool traffic_node::is_quarantined(mesh::http_request const& request,
                                  service_name const& service)
{
    return has_suspicions_ &&
           crash_guard_.refuses(fingerprint_of(request),
                                placement_.host_count(service), mono_now());
}

void traffic_node::on_completed(mesh_call const& call)
{
    // Also before the first crash: a request that completes everywhere is
    // often running when an upstream ends for another reason.
    crash_guard_.on_completed(fingerprint_of(call.request), mono_now());
}

call_metadata const* traffic_node::find_parent_call(std::string const& id) const
{
    auto const dot = id.rfind('.');
    return dot == std::string::npos
               ? nullptr
               : gate_.find_running(request_id(id.substr(0, dot)));
}

std::shared_ptr<client_pool>
traffic_node::peer_pool(mesh::host_entry const& host)
{
    auto& pool = peer_pools_[host.host];
    if (!pool)
        pool = std::make_shared<client_pool>(
            context_, timers_,
            asio::ip::tcp::endpoint(asio::ip::make_address(host.host.value()),
                                    static_cast<std::uint16_t>(host.gate_port)),
            client_pool_options{.connect_timeout = peer_connect_timeout,
                                .idle_timeout = peer_pool_idle_timeout,
                                .stale_after = peer_pool_idle_timeout,
                                .memory_budget = memory_budget_});
    return pool;
}

mesh::http_response traffic_node::make_response(int status,
                                                std::string_view reason,
                                                std::string const& id,
                                                milliseconds retry_after) const
{
    mesh::http_response response{.status = status};
    if (!id.empty())
        response.fields.add(options_.headers.request_id, id);
    if (retry_after.count() > 0)
    {
        auto const ms = std::to_string(1'000 + retry_after.count() % 1'000);
        response.fields.add(options_.headers.retry_after,
                            std::to_string(retry_after.count() / 1'000) + "." +
                                ms.substr(1));
    }
    response.body = std::string(reason) + "\n";
    return response;
}

void traffic_node::reject(std::shared_ptr<server_exchange> const& to,
                          int status, std::string_view reason,
                          std::string const& id, milliseconds retry_after)
{
    log_event("request_refused", log_level::warning)
        .add("id", id)
        .add("status", status)
        .add("reason", reason)
        .add("version",
             routes_ ? routes_->config().version.value() : std::int64_t{0});
    metrics_.record_call(options_.service, reason, microseconds{0});
    to->respond(make_response(status, reason, id, retry_after),
                shutdown_.has_value());
}

void traffic_node::on_caller_request(
    std::shared_ptr<server_exchange> const& from, mesh::http_request request)
{
    auto const now = mono_now();
    auto const& names = options_.headers;
    auto const* id = request.fields.find(names.request_id);
    if (id == nullptr || id->empty() ||
        request.fields.count(names.request_id) != 1)
        return reject(from, 400, "no_request_id", {}, milliseconds{0});
    if (!routes_)
        return reject(from, 503, "no_configuration", *id,
                      no_configuration_retry_after);
    if (memory_budget_->exhausted())
        return reject(from, 503, "no_memory", *id, memory_retry_after);
    auto const* host = request.fields.find("Host");
    auto const* route =
        host == nullptr ? nullptr : routes_->find(*host, request.target);
    if (route == nullptr)
        return reject(from, 404, "no_route", *id, milliseconds{0});
    if (!from->may_start(route->idempotent))
        return from->postpone(std::move(request));
    auto timeout = parse_ms(request.fields.find(names.time_left_ms))
                       .value_or(default_caller_timeout);
    if (route->timeout.count() > 0)
        timeout = std::min(timeout, route->timeout);

    auto const* parent = find_parent_call(*id);
    mesh_call call{
        .id = request_id(*id),
        .metadata = {.service = split_rotation_.next(*route),
                     .idempotent = route->idempotent,
                     .rank = parent == nullptr
                                 ? mesh::rank_of_entry(route->priority, *id)
                                 : mesh::rank_of_inner_call(parent->rank),
                     .objective = route->objective,
                     .is_retry = parent != nullptr && parent->is_retry,
                     .version = routes_->config().version},
        .deadline = arrival_of(*from) + timeout};
    // The time may have passed while the body arrived, or while earlier
    // requests of the connection were served.
    if (time_left(call.deadline, now).count() == 0)
        return reject(from, 503, "no_time_left", *id, milliseconds{0});
    if (!accepts(call, *route, parent != nullptr))
        return reject(from, 503, "node_stopping", *id,
                      time_left(shutdown_->end(), now) + restart_time);
    limit_deadline(call);
    last_accepted_ = now;
    request.fields.remove_hop_by_hop();
    for (auto const* name :
         {&names.expected_incarnation, &names.not_run, &names.incarnation,
          &names.signature, &call_metadata_header, &gate_report_header})
        request.fields.remove(*name);
    request.fields.set(names.caller_service, options_.service.value());
    if (is_quarantined(request, call.metadata.service))
        return reject(from, 503, "quarantined", *id, quarantine_retry_after);
    call.request = std::move(request);
    std::make_shared<origin_call>(*this, from, std::move(call), *route)
        ->start();
}

void traffic_node::on_peer_request(std::shared_ptr<server_exchange> const& from,
                                   mesh::http_request request)
{
    auto const now = mono_now();
    auto const& names = options_.headers;
    auto const* id = request.fields.find(names.request_id);
    auto const* metadata_text = request.fields.find(call_metadata_header);
    auto const metadata = metadata_text == nullptr
                              ? std::nullopt
                              : parse_call_metadata(*metadata_text);
    auto const timeout = parse_ms(request.fields.find(names.time_left_ms));
    if (id == nullptr || !metadata || !timeout)
        return from->respond(
            make_response(400, "not_a_call", {}, milliseconds{0}), true);
    check_peer_version(metadata->version,
                       mesh::host_address(from->remote_host()));
    mesh_call call{.id = request_id(*id),
                   .metadata = *metadata,
                   .deadline = arrival_of(*from) + *timeout};
    request.fields.remove_hop_by_hop();
    request.fields.remove(call_metadata_header);
    call.request = std::move(request);
    if (shutdown_ &&
        !shutdown_->accepts_peer_call(
            {.deadline = call.deadline, .usual_time = call.metadata.objective},
            now))
        return respond_to_peer(from, call.id,
                               {.end = mesh::attempt_end::not_offered,
                                .reason = "node_stopping",
                                .gate_not_ready = true});
    if (memory_budget_->exhausted())
        return respond_to_peer(from, call.id,
                               {.end = mesh::attempt_end::not_offered,
                                .reason = "no_memory",
                                .retry_after = memory_retry_after});
    limit_deadline(call);
    last_accepted_ = now;
    ++open_gate_calls_;
    auto const call_id = call.id;
    // Set when the gate completes the call, possibly before submit returns, or
    // when the peer disconnects.
    auto const ended = std::make_shared<bool>(false);
    auto const number =
        gate_.submit(std::move(call),
                     [this, from, ended, call_id](attempt_result result)
                     {
                         *ended = true;
                         --open_gate_calls_;
                         respond_to_peer(from, call_id, std::move(result));
                     });
    if (*ended)
        return;
    from->set_disconnect_handler(
        [this, number, ended]
        {
            if (*ended)
                return;
            *ended = true;
            --open_gate_calls_;
            gate_.cancel(number);
        });
}

void traffic_node::respond_to_peer(std::shared_ptr<server_exchange> const& to,
                                   request_id const& id, attempt_result result)
{
    to->respond(make_peer_response(id, std::move(result)),
                shutdown_.has_value());
}

mesh::http_response traffic_node::make_peer_response(request_id const& id,
                                                     attempt_result result)
{
    gate_report const report{.end = result.end,
                             .reason = result.reason,
                             .gate_not_ready = result.gate_not_ready,
                             .retry_after = result.retry_after,
                             .version = routes_ ? routes_->config().version
                                                : mesh::config_version(),
                             .load = gate_.load()};
    auto& response = result.response;
    if (result.end != mesh::attempt_end::answered &&
        result.end != mesh::attempt_end::failed)
        response = {.status = result.end == mesh::attempt_end::timed_out ? 504
                              : result.end == mesh::attempt_end::unknown ? 502
                                                                         : 503};
    response.fields.remove_hop_by_hop();
    response.fields.set(options_.headers.request_id, id.value());
    response.fields.set(gate_report_header, format_gate_report(report));
    return response;
}

void traffic_node::check_peer_version(mesh::config_version version,
                                      mesh::host_address const& host)
{
    auto const known =
        routes_ ? routes_->config().version : mesh::config_version();
    if (version > known && on_newer_version_)
        on_newer_version_(version, host);
}

bool traffic_node::accepts(mesh_call const& call, mesh::route const& route,
                           bool is_inner_call) const
{
    return !shutdown_ ||
           shutdown_->accepts(
               {.deadline = call.deadline,
                .usual_time = response_stats_.overdue_delay(route.name)
                                  .value_or(route.objective),
                .is_inner_call = is_inner_call},
               mono_now());
}

void traffic_node::limit_deadline(mesh_call& call) const
{
    // The upstream stops at the earlier deadline and responds. Otherwise the
    // end of this process would cut the call off.
    if (shutdown_)
        call.deadline = std::min(call.deadline, shutdown_->max_deadline());
}

void traffic_node::stop(mesh::shutdown_options const& options,
                        std::function<void()> on_stopped)
{
    if (shutdown_)
        return;
    shutdown_.emplace(options, mono_now());
    on_stopped_ = std::move(on_stopped);
    check_stopped();
}

void traffic_node::check_stopped()
{
    if (!shutdown_ || !on_stopped_)
        return;
    auto const now = mono_now();
    bool const is_idle = open_calls_ == 0 && open_gate_calls_ == 0 &&
                         gate_.active_calls() == 0 &&
                         caller_listener_.is_idle() && peer_listener_.is_idle();
    if (now < shutdown_->process_end() &&
        !(is_idle && shutdown_->may_end_idle(last_accepted_, now)))
    {
        timers_.after(stop_check_interval, [this] { check_stopped(); });
        return;
    }
    log_event("traffic_stopped")
        .add("open_calls", static_cast<std::int64_t>(open_calls_))
        .add("open_gate_calls", static_cast<std::int64_t>(open_gate_calls_))
        .add("after_ms",
             std::chrono::duration_cast<milliseconds>(now - shutdown_->began())
                 .count());
    caller_listener_.stop_accepting();
    peer_listener_.stop_accepting();
    caller_listener_.close_when_idle();
    peer_listener_.close_when_idle();
    std::exchange(on_stopped_, nullptr)();
}

} // namespace pollenhall::sidecar
