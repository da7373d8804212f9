// Reading and watching the store, configuration, host entries, and the
// registration of the upstream. Requests to peers are in control_peers.cpp.

#include "control_node.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// Backoff between calls to a failing store. It starts short, because most
// failures affect a single call, and is bounded so that host entries are
// restored within 2 s of the store's recovery.
constexpr milliseconds min_store_retry_delay{50};
constexpr milliseconds max_store_retry_delay{800};
// The same while the store has no history for any watch: only complete reads
// deliver changes then, and a configuration must be in force within 2 s.
constexpr milliseconds max_history_gone_delay{1'400};
// The same for a node that usually receives changes from peers (a follower). It
// is longer, because all followers call the store at once when it is
// unavailable.
constexpr milliseconds max_follower_retry_delay{3'000};
// How often the node checks for an available peer while it backs off from the
// store.
constexpr milliseconds peer_recheck_interval{200};
// How long entries that the store has lost stay in use. By then, live hosts
// that reach the store have written theirs again.
constexpr milliseconds lost_entry_lifetime{2'000};
// Time that the upstream has to send its first heartbeat before its health
// endpoint is called.
constexpr milliseconds first_heartbeat_timeout{200};
// Timeout of a health check, and the delay before the next one.
constexpr milliseconds health_check_timeout{1'000};
constexpr int max_health_checks = 3;
// The response to a health check is read for its status and header only.
constexpr std::size_t max_health_response_bytes = 65'536;
// Slots of an upstream that was found by a health check and has no host entry.
// The number is low; the first heartbeat replaces it within seconds.
constexpr int assumed_slots = 32;

} // namespace

control_node::control_node(asio::io_context& context, node_options options,
                           store_layout layout, shared_store& store,
                           configuration_decoder decode,
                           traffic_callbacks traffic, node_metrics& metrics)
    : options_(std::move(options)), layout_(std::move(layout)), store_(store),
      decode_(std::move(decode)), traffic_(std::move(traffic)),
      metrics_(metrics), context_(context), timers_(context),
      random_(std::random_device{}()),
      boot_(wall_now().time_since_epoch().count()),
      change_feed_(timers_, mirror_),
      relays_({.own_zone = options_.zone, .own_host = options_.host}),
      vanished_(options_.vanished),
      registration_(options_.service,
                    options_.upstream.address().to_string() + ":" +
                        std::to_string(options_.upstream.port())),
      departure_replicas_({.own_host = options_.host}), departures_({})
{
    change_feed_.set_later_era_handler([this](mesh::host_address const& peer)
                                       { poll_peer(peer); });
}

void control_node::start()
{
    read_store();
    schedule_peer_poll();
    poll_other_relay_later();
    timers_.after(options_.vanished.probe_interval,
                  [this] { probe_next_host(); });
}

void control_node::stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    change_feed_.set_current(false);
    publish_entry();
    hand_over_kept_entries();
}

void control_node::read_store()
{
    store_.read(layout_.common_prefix,
                [this](absl::StatusOr<store_items> items)
                {
                    if (!items.ok())
                    {
                        on_store_error("read", items.status());
                        return retry_after_store_error();
                    }
                    on_store_response();
                    must_read_store_ = false;
                    must_read_own_entry_ = false;
                    apply_changes(*items, "store");
                    set_receiving_changes(true);
                    publish_entry();
                    // No other node has started yet. If all nodes of an older
                    // fleet start again, a delay would prolong the recovery.
                    if (hosts_.empty() && lost_hosts_.empty())
                    {
                        startup_end_ = mono_now() + options_.watch.startup_time;
                        postpone_watch();
                    }
                    wait_for_changes();
                });
}

void control_node::postpone_watch()
{
    auto const now = mono_now();
    next_store_attempt_ =
        now + (now < startup_end_ ? jittered(options_.watch.startup_batch_delay)
                                  : options_.watch.batch_delay);
}

void control_node::retry_after_store_error()
{
    // Only a complete read shows which changes were missed.
    must_read_store_ = true;
    next_store_attempt_ =
        mono_now() +
        (relays_.is_default_relay() || store_reachable_
             ? retry_delay_
             : std::max(retry_delay_, jittered(max_follower_retry_delay)));
    wait_for_changes();
}

store_era control_node::latest_era() const
{
    return std::max(store_.era(), mirror_.revision().era());
}

void control_node::read_later_era()
{
    if (reading_later_era_ || store_.era() <= mirror_.revision().era())
        return;
    reading_later_era_ = true;
    store_.read(layout_.common_prefix,
                [this](absl::StatusOr<store_items> items)
                {
                    if (items.ok())
                    {
                        reading_later_era_ = false;
                        apply_changes(*items, "store");
                        return publish_entry();
                    }
                    log_event("store_lost", log_level::warning)
                        .add("call", "read_later_era")
                        .add("error", std::string(items.status().message()));
                    timers_.after(jittered(max_store_retry_delay),
                                  [this]
                                  {
                                      reading_later_era_ = false;
                                      read_later_era();
                                  });
                });
}

void control_node::wait_for_changes_later(milliseconds delay)
{
    timers_.after(delay, [this] { wait_for_changes(); });
}

void control_node::wait_for_changes()
{
    auto const now = mono_now();
    if (auto const peer = relays_.choose(now))
        return watch_peer(*peer);
    if (now >= next_store_attempt_)
        return must_read_store_ ? read_store() : watch_store();
    // A peer may become available before the store may be called again.
    wait_for_changes_later(std::min(
        peer_recheck_interval,
        std::chrono::duration_cast<milliseconds>(next_store_attempt_ - now) +
            milliseconds{1}));
}

void control_node::watch_store()
{
    milliseconds const jitter{static_cast<std::int64_t>(
        random_() %
        static_cast<std::uint64_t>(
            (options_.watch.max_wait - options_.watch.min_wait).count()))};
    store_.watch(
        layout_.common_prefix, mirror_.revision(),
        options_.watch.min_wait + jitter,
        [this, started = mono_now()](absl::StatusOr<store_items> const& changes)
        {
            if (!changes.ok())
            {
                on_store_error("watch", changes.status());
                return retry_after_store_error();
            }
            on_store_response();
            history_gone_delay_ = milliseconds{0};
            set_receiving_changes(true);
            apply_changes(*changes, "store");
            publish_entry();
            if (!changes->items.empty())
                postpone_watch();
            else
                // A store that ends watches early is not called more
                // often than one that holds them.
                next_store_attempt_ = started + options_.watch.min_wait;
            wait_for_changes();
        });
}

void control_node::set_receiving_changes(bool receiving)
{
    if (receiving_changes_ == receiving)
        return;
    receiving_changes_ = receiving;
    if (receiving)
        log_event("store_news_regained")
            .add("revision", mirror_.revision().number());
    else
        log_event("store_news_lost", log_level::warning)
            .add("revision", mirror_.revision().number());
    change_feed_.set_current(receiving && !stopping_);
    if (!receiving)
        schedule_peer_poll();
}

void control_node::on_store_error(std::string_view call,
                                  absl::Status const& status)
{
    // The store is reachable but does not have the history after the requested
    // revision. The first complete read follows at once; if the next watch
    // fails in the same way, further reads are delayed.
    if (status.code() == absl::StatusCode::kOutOfRange)
    {
        log_event("store_history_gone", log_level::warning)
            .add("call", call)
            .add("error", std::string(status.message()))
            .add("revision", mirror_.revision().number())
            .add("era", mirror_.revision().era().value())
            .add("store_era", store_.era().value())
            .add("delay_ms", history_gone_delay_.count());
        retry_delay_ = history_gone_delay_;
        history_gone_delay_ =
            jittered(std::clamp(history_gone_delay_ * 2, min_store_retry_delay,
                                max_history_gone_delay));
        return;
    }
    if (store_reachable_ || retry_delay_.count() == 0)
        log_event("store_lost", log_level::warning)
            .add("call", call)
            .add("error", std::string(status.message()))
            .add("revision", mirror_.revision().number());
    store_reachable_ = false;
    if (store_contact_ == store_contact::pending)
        store_contact_ = store_contact::after_failure;
    metrics_.set_store_reachable(false);
    if (!relays_.choose(mono_now()))
        set_receiving_changes(false);
    retry_delay_ = jittered(std::clamp(retry_delay_ * 2, min_store_retry_delay,
                                       max_store_retry_delay));
}

milliseconds control_node::jittered(milliseconds delay)
{
    // Spreads the retries of many nodes over half of the delay.
    return delay -
           milliseconds(static_cast<std::int64_t>(
               random_() % static_cast<std::uint64_t>(delay.count() / 2)));
}

void control_node::on_store_response()
{
    if (!store_reachable_)
        log_event("store_regained")
            .add("revision", mirror_.revision().number());
    store_reachable_ = true;
    metrics_.set_store_reachable(true);
    retry_delay_ = milliseconds{0};
    if (store_contact_ != store_contact::pending)
        return;
    bool const was_trusted = upstream_is_trusted();
    store_contact_ = store_contact::at_once;
    if (registration_.current() && upstream_is_trusted() && !was_trusted)
        upstream_changed("store_response");
}

void control_node::apply_changes(store_items const& update,
                                 std::string_view source)
{
    auto const own_key = this->own_key();
    auto const before = mirror_.revision();
    host_entries known_hosts;
    if (update.revision.era() > before.era())
    {
        // An entry lost in an earlier restore is newer than the stored one.
        known_hosts = lost_hosts_;
        known_hosts.insert(hosts_.begin(), hosts_.end());
    }
    auto const changes = mirror_.apply(update);
    metrics_.set_store_revision(mirror_.revision().number());
    if (update.complete)
        log_event("store_content_read")
            .add("source", source)
            .add("revision", update.revision.number())
            .add("era", update.revision.era().value())
            .add("known_revision", before.number())
            .add("known_era", before.era().value())
            .add("items", static_cast<std::int64_t>(update.items.size()))
            .add("changed", static_cast<std::int64_t>(changes.size()));
    bool hosts_changed = false;
    bool own_changed = false;
    for (auto const& item : changes)
    {
        if (item.key == own_key && item.revision >= published_revision_)
        {
            published_entry_ = item.value;
            published_revision_ = item.value ? item.revision : store_revision();
            own_changed = true;
        }
        if (item.key == layout_.configuration_key && item.value)
            apply_configuration(*item.value, source);
        else if (item.key.starts_with(layout_.hosts_prefix))
        {
            apply_host(item);
            lost_hosts_.erase(host_of_key(item.key));
            hosts_changed = true;
        }
    }
    // The changes do not include the removal of a key that the mirror never
    // held.
    if (update.complete && published_entry_ &&
        mirror_.find(own_key) == nullptr &&
        mirror_.revision() >= published_revision_)
    {
        published_entry_.reset();
        published_revision_ = store_revision();
        own_changed = true;
    }
    if (mirror_.revision().era() > before.era())
        on_era_changed(before, known_hosts);
    offer_unstored_configuration();
    if (!own_entry_known_ && mirror_.revision() > store_revision())
        read_acknowledged_upstream();
    else if (own_changed)
        on_own_entry_changed();
    if (hosts_changed)
        publish_hosts();
    if (mirror_.revision() > before)
        change_feed_.on_change();
}

void control_node::on_era_changed(store_revision known,
                                  host_entries const& known_hosts)
{
    metrics_.set_store_era(mirror_.revision().era().value());
    // The first era after the start of this process is not a restore.
    if (known == store_revision())
        return;
    log_event("store_restored", log_level::warning)
        .add("era", mirror_.revision().era().value())
        .add("revision", mirror_.revision().number())
        .add("known_era", known.era().value())
        .add("known_revision", known.number());
    use_lost_entries(known_hosts);
    // Only relays do this, because each of them calls the store.
    if (relays_.is_default_relay())
        keep_lost_departures(known_hosts);
}

void control_node::use_lost_entries(host_entries const& known_hosts)
{
    for (auto const& [host, entry] : known_hosts)
    {
        auto const stored = hosts_.find(host);
        if (host != options_.host &&
            (stored == hosts_.end() ||
             (stored->second != entry &&
              !mesh::is_written_after(stored->second, entry))))
            lost_hosts_.insert_or_assign(host, entry);
        else
            lost_hosts_.erase(host);
    }
    if (lost_hosts_.empty())
        return;
    timers_.after(lost_entry_lifetime,
                  [this, era = mirror_.revision().era()]
                  {
                      if (era != mirror_.revision().era())
                          return;
                      // Entries that the store has in an older state stay
                      // replaced until their hosts write them.
                      auto const dropped = std::erase_if(
                          lost_hosts_, [&](auto const& lost)
                          { return !hosts_.contains(lost.first); });
                      if (dropped == 0)
                          return;
                      log_event("lost_entries_dropped", log_level::warning)
                          .add("hosts", static_cast<std::int64_t>(dropped));
                      publish_hosts();
                  });
}

void control_node::keep_lost_departures(host_entries const& known_hosts)
{
    bool const was_empty = departures_.empty();
    for (auto const& [host, entry] : known_hosts)
    {
        auto const stored = hosts_.find(host);
        if (host == options_.host || !(entry.draining || entry.left) ||
            (stored != hosts_.end() &&
             mesh::contains_departure(stored->second, entry)) ||
            departures_.contains(entry))
            continue;
        log_event("departure_kept")
            .add("host", host.value())
            .add("incarnation", entry.incarnation.value())
            .add("draining", entry.draining)
            .add("left", entry.left);
        // A process that starts on that host reads the store first.
        write_kept_entry(entry);
        departures_.keep(entry, mono_now());
    }
    // The next process may have started already, so nothing delays this.
    if (was_empty && !departures_.empty())
        send_kept_entries();
}

void control_node::offer_unstored_configuration()
{
    auto const* stored = mirror_.find(layout_.configuration_key);
    bool const is_stored =
        stored != nullptr && *stored == configuration_document_;
    change_feed_.set_unstored_configuration(
        version(), is_stored ? std::string() : configuration_document_);
}

bool control_node::apply_configuration(std::string const& text,
                                       std::string_view source)
{
    auto decoded = decode_(text);
    if (!decoded.ok())
    {
        log_event("configuration_not_readable", log_level::error)
            .add("source", source)
            .add("error", std::string(decoded.status().message()));
        return false;
    }
    if (decoded->version <= version())
    {
        log_event("configuration_not_newer")
            .add("source", source)
            .add("version", decoded->version.value())
            .add("in_force", version().value());
        return true;
    }
    log_event("configuration_in_force")
        .add("source", source)
        .add("version", decoded->version.value())
        .add("previous", version().value())
        .add("routes", static_cast<std::int64_t>(decoded->routes.size()));
    bool const is_first = !routes_;
    routes_ = std::make_shared<mesh::route_table const>(std::move(*decoded));
    configuration_document_ = text;
    offer_unstored_configuration();
    traffic_.set_routes(routes_);
    metrics_.set_configuration_version(version().value());
    if (is_first)
        timers_.after(first_heartbeat_timeout,
                      [this] { check_upstream_health(); });
    return true;
}

mesh::host_address control_node::host_of_key(std::string const& key) const
{
    return mesh::host_address(key.substr(layout_.hosts_prefix.size()));
}

void control_node::apply_host(store_item const& item)
{
    auto const host = host_of_key(item.key);
    if (!item.value)
    {
        hosts_.erase(host);
        return;
    }
    auto entry = parse_host_entry(*item.value);
    if (!entry.ok() || entry->host != host)
    {
        log_event("host_entry_ignored", log_level::warning)
            .add("key", item.key)
            .add("revision", item.revision.number())
            .add("error", entry.ok() ? "address differs from key"
                                     : std::string(entry.status().message()));
        return;
    }
    read_suspicions(*entry);
    // The traffic thread receives them on their own: a new suspicion does not
    // change what is known of the host.
    entry->suspicions.clear();
    hosts_.insert_or_assign(host, std::move(*entry));
}

void control_node::read_acknowledged_upstream()
{
    bool const was_trusted = upstream_is_trusted();
    own_entry_known_ = true;
    auto const own = hosts_.find(options_.host);
    if (own != hosts_.end())
        apply_earlier_entry(own->second, "store");
    if (registration_.current() && upstream_is_trusted() && !was_trusted)
        upstream_changed("store_read");
}

void control_node::on_own_entry_changed()
{
    // A peer may have written what an earlier process of this node
    // acknowledged.
    auto const own = hosts_.find(options_.host);
    if (own != hosts_.end() && own->second.boot != boot_)
        apply_earlier_entry(own->second, "store");
    check_departure();
}

void control_node::publish_hosts()
{
    std::vector<mesh::host_entry> all;
    all.reserve(hosts_.size() + lost_hosts_.size() + 1);
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host && !lost_hosts_.contains(host))
            all.push_back(entry);
    for (auto const& [host, entry] : lost_hosts_)
        all.push_back(entry);
    // The entry of this host comes from the registration, which is newer than
    // the store.
    if (registration_.current() && upstream_is_trusted())
        all.push_back(own_entry());
    log_event("hosts_known")
        .add("hosts", static_cast<std::int64_t>(all.size()))
        .add("ready",
             std::count_if(all.begin(), all.end(),
                           [](auto const& item) { return item.ready; }))
        .add("revision", mirror_.revision().number());
    relays_.set_hosts(all);
    traffic_.set_hosts(std::move(all));
}

std::string control_node::own_key() const
{
    return layout_.hosts_prefix + options_.host.value();
}

mesh::host_entry control_node::own_entry() const
{
    auto const& upstream = *registration_.current();
    return {.host = options_.host,
            .gate_port = options_.gate.port(),
            .zone = options_.zone,
            .service = options_.service,
            .incarnation = upstream.last.incarnation,
            .started = upstream.last.started,
            .slots = upstream.last.slots,
            .ready = upstream.accepts_work(),
            .stopping = stopping_,
            .draining = upstream.last.draining,
            .left = upstream.left,
            .sequence = upstream.last.sequence,
            .cold_remaining = upstream.last.sequence <= 2
                                  ? upstream.last.cold_remaining
                                  : milliseconds{0},
            .boot = boot_,
            .suspicions = suspicions_.published(wall_now())};
}

void control_node::publish_entry()
{
    if (writing_ || must_read_own_entry_ ||
        !(store_reachable_ || receiving_changes_) || !registration_.current())
        return;
    // Its entry of an earlier process stays as it is.
    if (registration_.current()->accepts_work() && !upstream_is_trusted())
        return;
    auto const entry = own_entry();
    auto const text = write_host_entry(entry);
    if (published_entry_)
    {
        auto const known = parse_host_entry(*published_entry_);
        // A changed `cold_remaining` alone causes no write: the warm-up ends
        // without one.
        if (known.ok() && known->incarnation == entry.incarnation &&
            known->started == entry.started && known->ready == entry.ready &&
            known->stopping == entry.stopping &&
            known->draining == entry.draining && known->left == entry.left &&
            known->slots == entry.slots &&
            known->gate_port == entry.gate_port && known->zone == entry.zone &&
            known->service == entry.service &&
            known->suspicions == entry.suspicions)
            return;
    }
    writing_ = true;
    store_.write(own_key(), text, published_revision_,
                 [this, text](absl::StatusOr<store_revision> const& written)
                 { on_entry_written(text, written); });
}

void control_node::on_entry_written(
    std::string const& text, absl::StatusOr<store_revision> const& written)
{
    writing_ = false;
    read_later_era();
    // A write of an earlier era may have been lost.
    if (written.ok() && written->era() >= latest_era())
    {
        on_store_response();
        write_retry_delay_ = milliseconds{0};
        published_entry_ = text;
        published_revision_ = *written;
        if (written->era() == mirror_.revision().era())
            mirror_.apply({.items = {{.key = own_key(),
                                      .value = text,
                                      .revision = *written}},
                           .revision = mirror_.revision()});
        log_event("host_entry_written")
            .add("revision", written->number())
            .add("ready", own_entry().ready);
        check_departure();
        return publish_entry();
    }
    log_event("host_entry_not_written", log_level::warning)
        .add("error", written.ok() ? "written before the store was restored"
                                   : std::string(written.status().message()));
    // The revision did not match, the outcome is unknown, or the store may have
    // lost the write: the key is read before the next write.
    must_read_own_entry_ = true;
    write_retry_delay_ = jittered(std::clamp(
        write_retry_delay_ * 2, min_store_retry_delay, max_store_retry_delay));
    read_own_entry();
}

void control_node::read_own_entry()
{
    timers_.after(
        std::max({retry_delay_, write_retry_delay_, min_store_retry_delay}),
        [this]
        {
            store_.read(own_key(),
                        [this](absl::StatusOr<store_items> const& items)
                        { on_own_entry_read(items); });
        });
}

void control_node::on_own_entry_read(absl::StatusOr<store_items> const& items)
{
    read_later_era();
    if (!items.ok())
    {
        on_store_error("read_own_entry", items.status());
        return read_own_entry();
    }
    if (items->revision.era() < latest_era())
        return read_own_entry();
    must_read_own_entry_ = false;
    published_entry_.reset();
    published_revision_ = store_revision();
    for (auto const& item : items->items)
        if (item.key == own_key())
        {
            published_entry_ = item.value;
            published_revision_ = item.revision;
            apply_host(item);
        }
    on_own_entry_changed();
    publish_entry();
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
        .add("cold_ms", upstream.last.cold_remaining.count());
    ++departure_number_;
    departure_replicas_.reset();
    if (upstream_is_trusted())
    {
        traffic_.set_upstream(upstream);
        publish_hosts();
    }
    // A departure is published even if the upstream is not trusted yet.
    if (upstream_is_trusted() || !upstream.accepts_work())
        publish_entry();
    check_departure();
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
    else
    {
        bool const was_trusted = upstream_is_trusted();
        early_heartbeats_ += was_trusted ? 0 : 1;
        if (std::get<mesh::heartbeat_accepted>(result).changed ||
            was_trusted != upstream_is_trusted())
            upstream_changed("heartbeat");
    }
    return result;
}

void control_node::on_leave(mesh::incarnation_id const& incarnation)
{
    if (registration_.on_leave(incarnation, wall_now(), mono_now()))
        upstream_changed("leave");
}

void control_node::check_upstream_health()
{
    bool const has_upstream =
        registration_.current() && !registration_.current()->left;
    if (has_upstream || stopping_ || health_checks_ >= max_health_checks)
        return;
    ++health_checks_;
    auto const* service = routes_->config().services.empty()
                              ? nullptr
                              : routes_->find_service(options_.service);
    if (service == nullptr || service->health_path.empty())
        return;
    if (!upstream_pool_)
        upstream_pool_ = std::make_shared<client_pool>(
            context_, timers_, options_.upstream,
            client_pool_options{
                .reader = {.body_bytes = max_health_response_bytes}});
    mesh::http_request request{.method = "GET", .target = service->health_path};
    request.fields.add("Host", options_.upstream.address().to_string());
    request.fields.add("Connection", "close");
    upstream_pool_->start(
        {.bytes = mesh::write_request(request),
         .deadline = mono_now() + health_check_timeout,
         .on_end = [this](exchange_result const& result)
         {
             auto const* text =
                 result.response.fields.find(options_.headers.incarnation);
             log_event("upstream_health_checked")
                 .add("end", to_string(result.end))
                 .add("status", result.response.status)
                 .add("incarnation", text == nullptr ? "" : *text);
             auto const incarnation =
                 mesh::parse_incarnation_id(text == nullptr ? "" : *text);
             if (result.response.status != 200 || !incarnation.ok())
             {
                 timers_.after(health_check_timeout,
                               [this] { check_upstream_health(); });
                 return;
             }
             int slots = assumed_slots;
             std::optional<wall_time> started;
             auto const own = hosts_.find(options_.host);
             if (own != hosts_.end() && own->second.incarnation == *incarnation)
             {
                 slots = own->second.slots;
                 started = own->second.started;
             }
             if (registration_.on_health_check(*incarnation, started, slots,
                                               mono_now()))
                 upstream_changed("health_check");
         }});
}

} // namespace pollenhall::sidecar
