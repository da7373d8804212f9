// Takes requests of callers and calls of peers.

#include "traffic_node.hpp"

#include "origin_call.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>
#include <charconv>
#include <span>

namespace pollenhall::sidecar
{

namespace
{

// Time that a caller is taken to wait if it does not say.
constexpr milliseconds default_patience{10'000};
// A peer on the same network connects in a few ms; one that doesn't is cut
// off or down, and another upstream is tried.
constexpr milliseconds peer_connect_timeout{300};
// Peers keep idle connections longer than the client side uses them.
constexpr milliseconds peer_idle_timeout{60'000};
constexpr milliseconds peer_pool_idle{20'000};
// Without a configuration a caller is asked to come back after this time.
constexpr milliseconds no_configuration_pause{300};
// After a request to stop, callers are taken away after two missed checks of
// readiness, a second apart; until then new requests are still taken.
constexpr milliseconds least_stop_time{2'300};
// Silence after which no more requests are expected.
constexpr milliseconds quiet_time{400};
// Share of the stop time after which calls of peers are sent elsewhere.
constexpr double peers_share = 0.2;
constexpr milliseconds stop_check_interval{50};
// Requests that a crash casts suspicion on, the latest starts first: the one
// that crashed the upstream began a moment before.
constexpr std::size_t most_suspects = 16;
// A request that crashes upstreams is asked to stay away for as long as a
// caller waits at most.
constexpr milliseconds quarantine_pause{5'000};
// Share of the stop time after which requests of callers are refused: what is
// taken later might not end before the process does.
constexpr double callers_share = 0.55;
// Share of the process's memory that connections may hold. A body lies in
// memory up to three times: as read, as passed on, and in the kernel's buffers.
constexpr double held_share = 0.2;
// When much is held, room is expected after the time that a caller on a slow
// path takes to read an answer.
constexpr milliseconds memory_pause{500};
// Time that the platform needs to start the process again.
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
      timers_(context), gate_(context, timers_,
                              {.service = options_.service,
                               .upstream_address = options_.upstream,
                               .headers = options_.headers},
                              metrics),
      placement_({.own_zone = options_.zone, .own_host = options_.host}),
      allowance_(options_.retries),
      budget_(std::make_shared<mesh::byte_budget>(static_cast<std::size_t>(
          held_share * static_cast<double>(options_.memory_bytes)))),
      callers_(
          context, timers_,
          {.on_request = [this](auto const& from, auto request)
           { on_caller_request(from, std::move(request)); },
           .on_fault =
               [this](request_fault fault)
           {
               int const status = fault == request_fault::header_too_large ? 431
                                  : fault == request_fault::body_too_large ? 413
                                  : fault == request_fault::header_timeout ? 408
                                  : fault == request_fault::no_memory      ? 503
                                                                      : 400;
               log_event("request_not_readable", log_level::warning)
                   .add("status", status)
                   .add("bytes_held",
                        static_cast<std::int64_t>(budget_->held()));
               return own_answer(status, "not_readable", {},
                                 status == 503 ? memory_pause : milliseconds{0},
                                 true);
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
           .budget = budget_,
           .refuses_bodies = true}),
      peers_(context, timers_,
             {.on_request = [this](auto const& from, auto request)
              { on_gate_request(from, std::move(request)); },
              .on_fault =
                  [this](request_fault)
              {
                  log_event("peer_request_not_readable", log_level::warning);
                  return own_answer(400, "not_readable", {}, milliseconds{0},
                                    true);
              },
              .limits =
                  []
              {
                  // Peers have checked sizes; their header adds one field.
                  return server_limits{.reader = {.header_bytes = 65'536},
                                       .idle_timeout = peer_idle_timeout};
              },
              .budget = budget_}),
      random_(std::random_device{}())
{
}

absl::Status traffic_node::open()
{
    gate_.on_crash([this](std::vector<fingerprint> const& in_flight)
                   { on_crash(in_flight); });
    gate_.on_completed(
        [this](mesh_call const& call)
        {
            if (has_suspicions_)
                guard_.on_completed(
                    fingerprint_of(call.request, options_.headers));
        });
    if (auto status = callers_.open(options_.outbound); !status.ok())
        return status;
    return peers_.open(options_.gate);
}

void traffic_node::set_routes(std::shared_ptr<mesh::route_table const> routes)
{
    routes_ = std::move(routes);
}

void traffic_node::set_hosts(std::vector<mesh::host_entry> hosts)
{
    placement_.set_hosts(hosts, mono_now());
    for (auto const& host : hosts)
        if (host.host != options_.host)
            take_suspicions(host);
    allowance_.set_nodes(hosts.size());
    std::erase_if(pools_,
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

void traffic_node::on_crash(std::vector<fingerprint> const& in_flight)
{
    crash_id const crash(combine_hashes(
        hash_text(options_.host.value()),
        combine_hashes(
            static_cast<std::uint64_t>(wall_now().time_since_epoch().count()),
            ++crashes_)));
    auto const latest =
        std::span(in_flight).first(std::min(in_flight.size(), most_suspects));
    auto suspicions = guard_.on_crash(crash, latest, mono_now());
    has_suspicions_ = true;
    if (on_suspicions_)
        on_suspicions_(std::move(suspicions));
}

void traffic_node::take_suspicions(mesh::host_entry const& host)
{
    for (auto const& suspicion : host.suspicions)
    {
        has_suspicions_ = true;
        if (guard_.add(suspicion, mono_now()))
            log_event("crash_suspicion_heard")
                .add("from", host.host.value())
                .add("crash",
                     static_cast<std::int64_t>(suspicion.crash.value() >> 1))
                .add("content",
                     static_cast<std::int64_t>(suspicion.content.value() >> 1));
    }
}

bool traffic_node::is_quarantined(mesh::http_request const& request,
                                  service_name const& service)
{
    return has_suspicions_ &&
           guard_.refuses(fingerprint_of(request, options_.headers),
                          placement_.known(service), mono_now());
}

call_terms const* traffic_node::parent_of(std::string const& id) const
{
    auto const dot = id.rfind('.');
    return dot == std::string::npos
               ? nullptr
               : gate_.running(request_id(id.substr(0, dot)));
}

std::shared_ptr<client_pool>
traffic_node::peer_pool(mesh::host_entry const& host)
{
    auto& pool = pools_[host.host];
    if (!pool)
        pool = std::make_shared<client_pool>(
            context_, timers_,
            asio::ip::tcp::endpoint(asio::ip::make_address(host.host.value()),
                                    static_cast<std::uint16_t>(host.gate_port)),
            client_pool_options{.connect_timeout = peer_connect_timeout,
                                .idle_time = peer_pool_idle,
                                .old_after = peer_pool_idle});
    return pool;
}

std::string traffic_node::own_answer(int status, std::string_view reason,
                                     std::string const& id,
                                     milliseconds retry_after,
                                     bool closes) const
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
    return mesh::write_response(
        response, "GET", closes || stopping_ ? "Connection: close\r\n" : "");
}

void traffic_node::refuse(std::shared_ptr<server_connection> const& to,
                          int status, std::string_view reason,
                          std::string const& id, milliseconds retry_after)
{
    log_event("request_refused", log_level::warning)
        .add("id", id)
        .add("status", status)
        .add("reason", reason)
        .add("version",
             routes_ ? routes_->config().version.value() : std::int64_t{0});
    metrics_.note_call(options_.service, reason, microseconds{0});
    to->respond(own_answer(status, reason, id, retry_after), stopping_);
}

void traffic_node::on_caller_request(
    std::shared_ptr<server_connection> const& from, mesh::http_request request)
{
    last_request_ = mono_now();
    auto const& names = options_.headers;
    auto const* id = request.fields.find(names.request_id);
    if (id == nullptr || id->empty() ||
        request.fields.count(names.request_id) != 1)
        return refuse(from, 400, "no_request_id", {}, milliseconds{0});
    if (!routes_)
        return refuse(from, 503, "no_configuration", *id,
                      no_configuration_pause);
    if (stopping_ && stop_share_used() > callers_share)
        return refuse(from, 503, "node_stopping", *id,
                      time_left(stop_at_, last_request_) + restart_time);
    if (budget_->exhausted())
        return refuse(from, 503, "no_memory", *id, memory_pause);
    auto const* host = request.fields.find("Host");
    auto const* route =
        host == nullptr ? nullptr : routes_->find(*host, request.target);
    if (route == nullptr)
        return refuse(from, 404, "no_route", *id, milliseconds{0});
    auto patience = parse_ms(request.fields.find(names.time_left_ms))
                        .value_or(default_patience);
    if (route->timeout.count() > 0)
        patience = std::min(patience, route->timeout);

    auto const* parent = parent_of(*id);
    mesh_call call{
        .id = request_id(*id),
        .terms = {.service = rotation_.next(*route),
                  .idempotent = route->idempotent,
                  .rank = parent == nullptr
                              ? mesh::rank_of_entry(route->priority, *id)
                              : mesh::rank_of_inner_call(parent->rank),
                  .objective = route->objective,
                  .is_repeat = parent != nullptr && parent->is_repeat,
                  .version = routes_->config().version},
        .deadline = last_request_ + patience};
    request.fields.remove_hop_by_hop();
    for (auto const* name :
         {&names.expected_incarnation, &names.not_run, &names.incarnation,
          &names.signature, &terms_field, &result_field})
        request.fields.remove(*name);
    request.fields.set(names.caller_service, options_.service.value());
    if (is_quarantined(request, call.terms.service))
        return refuse(from, 503, "quarantined", *id, quarantine_pause);
    call.request = std::move(request);
    std::make_shared<origin_call>(*this, from, std::move(call), *route)
        ->start();
}

void traffic_node::on_gate_request(
    std::shared_ptr<server_connection> const& from, mesh::http_request request)
{
    last_request_ = mono_now();
    auto const& names = options_.headers;
    auto const* id = request.fields.find(names.request_id);
    auto const* terms_text = request.fields.find(terms_field);
    auto const terms =
        terms_text == nullptr ? std::nullopt : parse_terms(*terms_text);
    auto const patience = parse_ms(request.fields.find(names.time_left_ms));
    if (id == nullptr || !terms || !patience)
        return from->respond(
            own_answer(400, "not_a_call", {}, milliseconds{0}, true), true);
    note_version(terms->version, mesh::host_address(from->remote_host()));
    mesh_call call{.id = request_id(*id),
                   .terms = *terms,
                   .deadline = last_request_ + *patience};
    auto const method = request.method;
    request.fields.remove_hop_by_hop();
    request.fields.remove(terms_field);
    call.request = std::move(request);
    if (stopping_ &&
        mono_now() - stop_began_ > std::chrono::duration_cast<microseconds>(
                                       (stop_at_ - stop_began_) * peers_share))
        return answer_peer(from, method, call.id,
                           {.end = mesh::attempt_end::not_offered,
                            .reason = "node_stopping",
                            .gate_not_ready = true});
    if (budget_->exhausted())
        return answer_peer(from, method, call.id,
                           {.end = mesh::attempt_end::not_offered,
                            .reason = "no_memory",
                            .retry_after = memory_pause});
    ++open_gate_calls_;
    // Set once the gate has an answer, which may be before submit returns.
    auto const answered = std::make_shared<bool>(false);
    auto const number = gate_.submit(
        call,
        [this, from, method, answered, id = call.id](attempt_result result)
        {
            *answered = true;
            --open_gate_calls_;
            answer_peer(from, method, id, std::move(result));
        });
    if (*answered)
        return;
    from->on_abandoned(
        [this, number, answered]
        {
            if (*answered)
                return;
            *answered = true;
            --open_gate_calls_;
            gate_.cancel(number);
        });
}

void traffic_node::answer_peer(std::shared_ptr<server_connection> const& to,
                               std::string const& method, request_id const& id,
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
    response.fields.set(result_field, write_report(report));
    to->respond(mesh::write_response(response, method,
                                     stopping_ ? "Connection: close\r\n" : ""),
                stopping_);
}

void traffic_node::note_version(mesh::config_version version,
                                mesh::host_address const& host)
{
    auto const known =
        routes_ ? routes_->config().version : mesh::config_version();
    if (version > known && on_newer_version_)
        on_newer_version_(version, host);
}

double traffic_node::stop_share_used() const
{
    return std::chrono::duration<double>(mono_now() - stop_began_) /
           std::chrono::duration<double>(stop_at_ - stop_began_);
}

void traffic_node::stop(milliseconds grace, std::function<void()> on_stopped)
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_began_ = mono_now();
    stop_at_ = stop_began_ + grace;
    on_stopped_ = std::move(on_stopped);
    check_stopped();
}

void traffic_node::check_stopped()
{
    if (!stopping_ || !on_stopped_)
        return;
    auto const now = mono_now();
    bool const quiet = open_calls_ == 0 && open_gate_calls_ == 0 &&
                       gate_.active() == 0 &&
                       now - last_request_ >= quiet_time &&
                       now - stop_began_ >= least_stop_time;
    if (!quiet && now < stop_at_)
    {
        timers_.after(stop_check_interval, [this] { check_stopped(); });
        return;
    }
    log_event("traffic_stopped")
        .add("open_calls", static_cast<std::int64_t>(open_calls_))
        .add("open_gate_calls", static_cast<std::int64_t>(open_gate_calls_))
        .add("after_ms",
             std::chrono::duration_cast<milliseconds>(now - stop_began_)
                 .count());
    callers_.stop_accepting();
    peers_.stop_accepting();
    callers_.close_idle();
    peers_.close_idle();
    std::exchange(on_stopped_, nullptr)();
}

} // namespace pollenhall::sidecar
