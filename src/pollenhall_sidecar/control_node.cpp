// Control state: store, registration, entries of hosts.

#include "control_node.hpp"

#include "traffic_node.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>
#include <iterator>

namespace pollenhall::sidecar
{
namespace
{

// Pauses between calls to a store that fails: short at first, since most
// failures are of one call, and bounded so that entries are back within two
// seconds of the store's return.
constexpr milliseconds first_store_pause{50};
constexpr milliseconds most_store_pause{800};
// Time that the watch has to bring a version that a peer already knows.
constexpr milliseconds version_patience{250};
// How often a peer is asked for the state while the store is away.
constexpr milliseconds peer_interval{1'000};
constexpr milliseconds peer_patience{800};
// Time that the upstream has to send a heartbeat before its health is asked.
constexpr milliseconds heartbeat_patience{200};
constexpr milliseconds health_patience{1'000};
constexpr int most_health_checks = 3;
// Slots of an upstream that was found by a health check and is in no entry;
// few, as its first heartbeat tells within seconds.
constexpr int assumed_slots = 32;
// Suspicions of the latest crashes that an entry carries.
constexpr std::ptrdiff_t most_suspicions = 32;

} // namespace

control_node::control_node(asio::io_context& context, node_options options,
                           store_layout layout, shared_store& store,
                           configuration_decoder decode, traffic_feed feed,
                           node_metrics& metrics)
    : options_(std::move(options)), layout_(std::move(layout)), store_(store),
      decode_(std::move(decode)), feed_(std::move(feed)), metrics_(metrics),
      context_(context), timers_(context), random_(std::random_device{}()),
      boot_(wall_now().time_since_epoch().count()),
      registration_(options_.service,
                    options_.upstream.address().to_string() + ":" +
                        std::to_string(options_.upstream.port()))
{
}

void control_node::start()
{
    read_store();
}

void control_node::stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    publish_entry();
}

void control_node::read_store()
{
    store_.read(layout_.common_prefix,
                [this](absl::StatusOr<store_items> items)
                {
                    if (!items.ok())
                    {
                        on_store_error("read", items.status());
                        timers_.after(retry_pause_, [this] { read_store(); });
                        return;
                    }
                    on_store_answer();
                    must_read_ = false;
                    apply_items(*items, true);
                    seen_ = items->at;
                    publish_entry();
                    watch_store();
                });
}

void control_node::watch_store()
{
    milliseconds const spread{static_cast<std::int64_t>(
        random_() %
        static_cast<std::uint64_t>(
            (options_.watch.most_time - options_.watch.least_time).count()))};
    store_.watch(
        layout_.common_prefix, seen_, options_.watch.least_time + spread,
        [this](absl::StatusOr<store_items> changes)
        {
            if (!changes.ok())
            {
                on_store_error("watch", changes.status());
                // What happened meanwhile is only known by reading.
                timers_.after(retry_pause_, [this] { read_store(); });
                return;
            }
            on_store_answer();
            apply_items(*changes, false);
            seen_ = std::max(seen_, changes->at);
            publish_entry();
            if (changes->items.empty())
                return watch_store();
            timers_.after(options_.watch.pause, [this] { watch_store(); });
        });
}

void control_node::on_store_error(std::string_view call,
                                  absl::Status const& status)
{
    if (store_reachable_ || retry_pause_.count() == 0)
        log_event("store_lost", log_level::warning)
            .add("call", call)
            .add("error", std::string(status.message()))
            .add("revision", seen_.value());
    if (store_reachable_ && status.code() != absl::StatusCode::kOutOfRange)
    {
        store_reachable_ = false;
        metrics_.set_store(false);
        timers_.after(peer_interval, [this] { ask_some_peer(); });
    }
    auto const doubled =
        std::clamp(retry_pause_ * 2, first_store_pause, most_store_pause);
    // Spread over half of the pause, so that nodes don't come back at once.
    retry_pause_ =
        doubled -
        milliseconds(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(doubled.count() / 2)));
}

void control_node::on_store_answer()
{
    if (!store_reachable_)
        log_event("store_regained").add("revision", seen_.value());
    store_reachable_ = true;
    metrics_.set_store(true);
    retry_pause_ = milliseconds{0};
}

void control_node::apply_items(store_items const& items, bool complete)
{
    auto const own_key = layout_.hosts_prefix + options_.host.value();
    auto const before = hosts_;
    if (complete)
    {
        hosts_.clear();
        published_.reset();
        published_revision_ = store_revision();
    }
    for (auto const& item : items.items)
    {
        if (item.key == own_key && item.revision >= published_revision_)
        {
            published_ = item.value;
            published_revision_ = item.value ? item.revision : store_revision();
        }
        if (item.key == layout_.configuration_key && item.value)
            apply_configuration(*item.value, "store");
        else if (item.key.starts_with(layout_.hosts_prefix))
            apply_host(item.key, item);
    }
    if (hosts_ != before)
        publish_hosts();
}

void control_node::apply_configuration(std::string const& text,
                                       std::string_view source)
{
    auto decoded = decode_(text);
    if (!decoded.ok())
    {
        log_event("configuration_not_readable", log_level::error)
            .add("source", source)
            .add("error", std::string(decoded.status().message()));
        return;
    }
    if (decoded->version <= version())
        return;
    log_event("configuration_in_force")
        .add("source", source)
        .add("version", decoded->version.value())
        .add("previous", version().value())
        .add("routes", static_cast<std::int64_t>(decoded->routes.size()));
    bool const is_first = !routes_;
    routes_ = std::make_shared<mesh::route_table const>(std::move(*decoded));
    configuration_text_ = text;
    feed_.set_routes(routes_);
    metrics_.set_configuration(version().value());
    share_state();
    if (is_first)
        timers_.after(heartbeat_patience, [this] { check_upstream_health(); });
}

void control_node::apply_host(std::string const& key, store_item const& item)
{
    mesh::host_address const host(key.substr(layout_.hosts_prefix.size()));
    if (!item.value)
    {
        hosts_.erase(host);
        return;
    }
    auto entry = parse_host(*item.value);
    if (!entry.ok() || entry->host != host)
    {
        log_event("host_entry_ignored", log_level::warning)
            .add("key", key)
            .add("revision", item.revision.value())
            .add("error", entry.ok() ? "address differs from key"
                                     : std::string(entry.status().message()));
        return;
    }
    hosts_.insert_or_assign(host, std::move(*entry));
}

void control_node::publish_hosts()
{
    std::vector<mesh::host_entry> all;
    all.reserve(hosts_.size() + 1);
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host)
            all.push_back(entry);
    // The own upstream is known first hand.
    if (registration_.current())
        all.push_back(own_entry());
    log_event("hosts_known")
        .add("hosts", static_cast<std::int64_t>(all.size()))
        .add("ready",
             std::count_if(all.begin(), all.end(),
                           [](auto const& item) { return item.ready; }))
        .add("revision", seen_.value());
    feed_.set_hosts(std::move(all));
    share_state();
}

void control_node::share_state()
{
    if (!routes_)
        return;
    shared_state state{.configuration = configuration_text_};
    for (auto const& [host, entry] : hosts_)
        state.hosts.push_back(entry);
    feed_.set_shared_state(
        std::make_shared<std::string const>(write_state(state)));
}

mesh::host_entry control_node::own_entry() const
{
    auto const& upstream = *registration_.current();
    return {.host = options_.host,
            .gate_port = options_.gate.port(),
            .zone = options_.zone,
            .service = options_.service,
            .incarnation = upstream.last.incarnation,
            .slots = upstream.last.slots,
            .ready = upstream.accepts_work() && !stopping_,
            .cold_left = upstream.last.sequence <= 2 ? upstream.last.cold_left
                                                     : milliseconds{0},
            .boot = boot_,
            .suspicions = suspicions_};
}

void control_node::on_suspicions(std::vector<crash_suspicion> suspicions)
{
    std::move(suspicions.begin(), suspicions.end(),
              std::back_inserter(suspicions_));
    if (std::ssize(suspicions_) > most_suspicions)
        suspicions_.erase(suspicions_.begin(),
                          suspicions_.end() - most_suspicions);
    publish_entry();
}

void control_node::publish_entry()
{
    if (writing_ || must_read_ || !store_reachable_ || !registration_.current())
        return;
    auto const entry = own_entry();
    auto const text = write_host(entry);
    if (published_)
    {
        auto const known = parse_host(*published_);
        // A cold start wears off by itself and is not worth a write.
        if (known.ok() && known->incarnation == entry.incarnation &&
            known->ready == entry.ready && known->slots == entry.slots &&
            known->gate_port == entry.gate_port && known->zone == entry.zone &&
            known->service == entry.service &&
            known->suspicions == entry.suspicions)
            return;
    }
    writing_ = true;
    auto const key = layout_.hosts_prefix + options_.host.value();
    store_.write(key, text, published_revision_,
                 [this, text](absl::StatusOr<store_revision> written)
                 {
                     writing_ = false;
                     if (written.ok())
                     {
                         on_store_answer();
                         published_ = text;
                         published_revision_ = *written;
                         log_event("host_entry_written")
                             .add("revision", written->value())
                             .add("ready", own_entry().ready);
                         return publish_entry();
                     }
                     log_event("host_entry_not_written", log_level::warning)
                         .add("error", std::string(written.status().message()));
                     // Another revision, or an outcome that isn't known: the
                     // key is read with the next answer of the watch.
                     must_read_ = true;
                     read_own_entry();
                 });
}

void control_node::read_own_entry()
{
    timers_.after(std::max(retry_pause_, first_store_pause),
                  [this]
                  {
                      auto const key =
                          layout_.hosts_prefix + options_.host.value();
                      store_.read(key,
                                  [this, key](absl::StatusOr<store_items> items)
                                  {
                                      if (!items.ok())
                                      {
                                          on_store_error("read_own_entry",
                                                         items.status());
                                          return read_own_entry();
                                      }
                                      must_read_ = false;
                                      published_.reset();
                                      published_revision_ = store_revision();
                                      for (auto const& item : items->items)
                                          if (item.key == key)
                                          {
                                              published_ = item.value;
                                              published_revision_ =
                                                  item.revision;
                                          }
                                      publish_entry();
                                  });
                  });
}

void control_node::upstream_changed(std::string_view cause)
{
    auto const& upstream = *registration_.current();
    log_event("upstream_changed")
        .add("cause", cause)
        .add("incarnation", upstream.last.incarnation.value())
        .add("sequence", upstream.last.sequence)
        .add("slots", upstream.last.slots)
        .add("draining", upstream.last.draining)
        .add("left", upstream.left)
        .add("cold_ms", upstream.last.cold_left.count());
    feed_.set_upstream(upstream);
    publish_hosts();
    publish_entry();
}

mesh::heartbeat_result
control_node::on_heartbeat(mesh::upstream_heartbeat const& heartbeat)
{
    auto const result = registration_.on_heartbeat(heartbeat, mono_now());
    if (auto const* reason = std::get_if<mesh::heartbeat_rejection>(&result))
        log_event("heartbeat_ignored", log_level::warning)
            .add("reason", to_string(*reason))
            .add("incarnation", heartbeat.incarnation.value())
            .add("sequence", heartbeat.sequence)
            .add("service", heartbeat.service.value())
            .add("address", heartbeat.address);
    else if (std::get<mesh::heartbeat_accepted>(result).changed)
        upstream_changed("heartbeat");
    return result;
}

void control_node::on_leave(mesh::incarnation_id const& incarnation)
{
    if (registration_.on_leave(incarnation, mono_now()))
        upstream_changed("leave");
}

void control_node::check_upstream_health()
{
    if (registration_.current() || stopping_ ||
        health_checks_ >= most_health_checks)
        return;
    ++health_checks_;
    auto const* service = routes_->config().services.empty()
                              ? nullptr
                              : routes_->find_service(options_.service);
    if (service == nullptr || service->health_path.empty())
        return;
    if (!upstream_pool_)
        upstream_pool_ = std::make_shared<client_pool>(
            context_, timers_, options_.upstream, client_pool_options{});
    mesh::http_request request{.method = "GET", .target = service->health_path};
    request.fields.add("Host", options_.upstream.address().to_string());
    request.fields.add("Connection", "close");
    upstream_pool_->start(
        {.bytes = mesh::write_request(request),
         .deadline = mono_now() + health_patience,
         .on_end = [this](exchange_result const& result)
         {
             auto const* incarnation =
                 result.response.fields.find(options_.headers.incarnation);
             log_event("upstream_health_checked")
                 .add("end", to_string(result.end))
                 .add("status", result.response.status)
                 .add("incarnation",
                      incarnation == nullptr ? "" : *incarnation);
             if (result.response.status != 200 || incarnation == nullptr)
             {
                 timers_.after(health_patience,
                               [this] { check_upstream_health(); });
                 return;
             }
             int slots = assumed_slots;
             auto const own = hosts_.find(options_.host);
             if (own != hosts_.end() &&
                 own->second.incarnation.value() == *incarnation)
                 slots = own->second.slots;
             if (registration_.on_health_check(
                     mesh::incarnation_id(*incarnation), slots, mono_now()))
                 upstream_changed("health_check");
         }});
}

void control_node::on_newer_version(mesh::config_version version,
                                    mesh::host_address const& host)
{
    if (asking_peer_ || version <= this->version())
        return;
    asking_peer_ = true;
    timers_.after(routes_ ? version_patience : milliseconds{0},
                  [this, version, host]
                  {
                      asking_peer_ = false;
                      if (version > this->version())
                          ask_peer(host, options_.gate.port());
                  });
}

void control_node::ask_some_peer()
{
    if (store_reachable_ || stopping_)
        return;
    timers_.after(peer_interval, [this] { ask_some_peer(); });
    std::vector<mesh::host_entry const*> others;
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host)
            others.push_back(&entry);
    if (others.empty())
        return;
    auto const* chosen = others[random_() % others.size()];
    ask_peer(chosen->host, chosen->gate_port);
}

void control_node::ask_peer(mesh::host_address const& host, int port)
{
    if (asking_peer_)
        return;
    asking_peer_ = true;
    auto& pool = peer_pools_[host];
    if (!pool)
        pool = std::make_shared<client_pool>(
            context_, timers_,
            asio::ip::tcp::endpoint(asio::ip::make_address(host.value()),
                                    static_cast<std::uint16_t>(port)),
            client_pool_options{});
    mesh::http_request request{.method = "GET", .target = state_path};
    request.fields.add("Host", host.value());
    pool->start({.bytes = mesh::write_request(request),
                 .deadline = mono_now() + peer_patience,
                 .on_end = [this, host](exchange_result const& result)
                 { on_peer_state(host, result); }});
}

void control_node::on_peer_state(mesh::host_address const& host,
                                 exchange_result const& result)
{
    asking_peer_ = false;
    if (result.end != exchange_end::answered || result.response.status != 200)
    {
        log_event("peer_state_not_read", log_level::warning)
            .add("peer", host.value())
            .add("end", to_string(result.end))
            .add("status", result.response.status);
        return;
    }
    auto state = parse_state(result.response.body);
    if (!state.ok())
    {
        log_event("peer_state_not_read", log_level::warning)
            .add("peer", host.value())
            .add("error", std::string(state.status().message()));
        return;
    }
    apply_configuration(state->configuration, "peer");
    if (store_reachable_)
        return;
    // Without the store, hosts are only added or renewed: a peer that was
    // away itself may know fewer.
    bool changed = false;
    for (auto const& entry : state->hosts)
    {
        auto const known = hosts_.find(entry.host);
        if (known != hosts_.end() && known->second.boot >= entry.boot)
            continue;
        hosts_.insert_or_assign(entry.host, entry);
        changed = true;
    }
    if (changed)
        publish_hosts();
}

} // namespace pollenhall::sidecar
