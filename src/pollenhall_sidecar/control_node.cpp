// Control state: store, registration, entries of hosts.

#include "control_node.hpp"

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
// The same before the next try to hear of changes, for a node that usually
// asks peers: all of them come at once when the store is away.
constexpr milliseconds most_follower_pause{3'000};
// How soon peers are looked at again while the store is not to be called yet.
constexpr milliseconds follow_check{200};
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
      boot_(wall_now().time_since_epoch().count()), feed_out_(timers_, mirror_),
      relays_({.own_zone = options_.zone, .own_host = options_.host}),
      vanished_(options_.vanished),
      registration_(options_.service,
                    options_.upstream.address().to_string() + ":" +
                        std::to_string(options_.upstream.port()))
{
}

void control_node::start()
{
    read_store();
    ask_some_peer_later();
    timers_.after(options_.vanished.probe_interval,
                  [this] { probe_next_host(); });
}

void control_node::stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    feed_out_.set_current(false);
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
                        return follow_after_error();
                    }
                    on_store_answer();
                    must_read_all_ = false;
                    must_read_ = false;
                    apply_news(*items, "store");
                    set_hearing(true);
                    publish_entry();
                    follow();
                });
}

void control_node::follow_after_error()
{
    // What was missed is only known by reading.
    must_read_all_ = true;
    next_store_try_ =
        mono_now() +
        (relays_.is_first_choice()
             ? retry_pause_
             : std::max(retry_pause_, spread(most_follower_pause)));
    follow();
}

void control_node::follow_later(milliseconds pause)
{
    timers_.after(pause, [this] { follow(); });
}

void control_node::follow()
{
    auto const now = mono_now();
    if (auto const peer = relays_.choose(now))
        return follow_peer(*peer);
    if (now >= next_store_try_)
        return must_read_all_ ? read_store() : watch_store();
    // Meanwhile a peer may be back.
    follow_later(std::min(
        follow_check,
        std::chrono::duration_cast<milliseconds>(next_store_try_ - now) +
            milliseconds{1}));
}

void control_node::watch_store()
{
    milliseconds const spread{static_cast<std::int64_t>(
        random_() %
        static_cast<std::uint64_t>(
            (options_.watch.most_time - options_.watch.least_time).count()))};
    store_.watch(layout_.common_prefix, mirror_.at(),
                 options_.watch.least_time + spread,
                 [this](absl::StatusOr<store_items> changes)
                 {
                     if (!changes.ok())
                     {
                         on_store_error("watch", changes.status());
                         return follow_after_error();
                     }
                     on_store_answer();
                     set_hearing(true);
                     apply_news(*changes, "store");
                     publish_entry();
                     if (changes->items.empty())
                         return follow();
                     follow_later(options_.watch.pause);
                 });
}

void control_node::set_hearing(bool hearing)
{
    if (hearing_ == hearing)
        return;
    hearing_ = hearing;
    if (hearing)
        log_event("store_news_regained").add("revision", mirror_.at().value());
    else
        log_event("store_news_lost", log_level::warning)
            .add("revision", mirror_.at().value());
    feed_out_.set_current(hearing && !stopping_);
    if (!hearing)
        ask_some_peer_later();
}

void control_node::on_store_error(std::string_view call,
                                  absl::Status const& status)
{
    // The history is gone, but the store answers.
    if (status.code() == absl::StatusCode::kOutOfRange)
    {
        log_event("store_history_gone", log_level::warning)
            .add("revision", mirror_.at().value());
        retry_pause_ = milliseconds{0};
        return;
    }
    if (store_reachable_ || retry_pause_.count() == 0)
        log_event("store_lost", log_level::warning)
            .add("call", call)
            .add("error", std::string(status.message()))
            .add("revision", mirror_.at().value());
    store_reachable_ = false;
    metrics_.set_store(false);
    if (!relays_.choose(mono_now()))
        set_hearing(false);
    retry_pause_ = spread(
        std::clamp(retry_pause_ * 2, first_store_pause, most_store_pause));
}

milliseconds control_node::spread(milliseconds pause)
{
    // Over half of the pause, so that nodes don't come back at once.
    return pause -
           milliseconds(static_cast<std::int64_t>(
               random_() % static_cast<std::uint64_t>(pause.count() / 2)));
}

void control_node::on_store_answer()
{
    if (!store_reachable_)
        log_event("store_regained").add("revision", mirror_.at().value());
    store_reachable_ = true;
    metrics_.set_store(true);
    retry_pause_ = milliseconds{0};
}

void control_node::apply_news(store_items const& news, std::string_view source)
{
    auto const own_key = layout_.hosts_prefix + options_.host.value();
    auto const before = mirror_.at();
    auto const changes = mirror_.apply(news);
    bool hosts_changed = false;
    for (auto const& item : changes)
    {
        if (item.key == own_key && item.revision >= published_revision_)
        {
            published_ = item.value;
            published_revision_ = item.value ? item.revision : store_revision();
        }
        if (item.key == layout_.configuration_key && item.value)
            apply_configuration(*item.value, source);
        else if (item.key.starts_with(layout_.hosts_prefix))
        {
            apply_host(item);
            hosts_changed = true;
        }
    }
    if (hosts_changed)
        publish_hosts();
    if (mirror_.at() > before)
        feed_out_.on_change();
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
    feed_.set_routes(routes_);
    metrics_.set_configuration(version().value());
    if (is_first)
        timers_.after(heartbeat_patience, [this] { check_upstream_health(); });
}

void control_node::apply_host(store_item const& item)
{
    mesh::host_address const host(item.key.substr(layout_.hosts_prefix.size()));
    if (!item.value)
    {
        hosts_.erase(host);
        return;
    }
    auto entry = parse_host(*item.value);
    if (!entry.ok() || entry->host != host)
    {
        log_event("host_entry_ignored", log_level::warning)
            .add("key", item.key)
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
        .add("revision", mirror_.at().value());
    relays_.set_hosts(all);
    feed_.set_hosts(std::move(all));
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
    if (writing_ || must_read_ || !(store_reachable_ || hearing_) ||
        !registration_.current())
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
                 [this, key, text](absl::StatusOr<store_revision> written)
                 {
                     writing_ = false;
                     if (written.ok())
                     {
                         on_store_answer();
                         published_ = text;
                         published_revision_ = *written;
                         mirror_.apply({.items = {{.key = key,
                                                   .value = text,
                                                   .revision = *written}},
                                        .at = mirror_.at()});
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

} // namespace pollenhall::sidecar
