// Departures of upstreams in control_node: confirms that a departure is
// recorded outside this process, and keeps the entries of peers until the store
// has them.

#include "control_node.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Time after which peers are asked as well. The store usually responds within
// milliseconds.
constexpr milliseconds store_write_timeout{150};
// The upstream ignores responses that take longer than a second.
constexpr milliseconds departure_timeout{850};
// How often kept entries are sent to their hosts. A restarted process must
// receive them within 2 s of the acknowledgement, and its restart takes 0.5 s.
constexpr milliseconds kept_entry_interval{500};

} // namespace

bool control_node::departure_is_recorded() const
{
    auto const& upstream = registration_.current();
    if (!upstream || upstream->accepts_work())
        return true;
    if (departure_replicas_.is_held(hosts_))
        return true;
    auto const stored = published_entry_
                            ? parse_host_entry(*published_entry_)
                            : absl::NotFoundError("no entry in the store");
    return stored.ok() && mesh::contains_departure(*stored, own_entry());
}

void control_node::confirm_departure(std::function<void(bool)> on_end)
{
    if (departure_is_recorded())
        return on_end(true);
    auto const id = ++last_confirmation_id_;
    confirmations_.emplace(
        id, pending_confirmation{.on_end = std::move(on_end),
                                 .timeout = timers_.after(
                                     departure_timeout,
                                     [this, id] { on_confirm_timeout(id); })});
    if (store_reachable_)
        timers_.after(store_write_timeout,
                      [this] { ask_departure_replicas(); });
    else
        ask_departure_replicas();
}

void control_node::on_confirm_timeout(std::uint64_t id)
{
    auto const confirmation = confirmations_.extract(id);
    if (confirmation.empty())
        return;
    // check_departure ends the confirmations when the registration changes, so
    // there is an upstream that departs.
    auto const& upstream = *registration_.current();
    log_event("departure_not_recorded", log_level::warning)
        .add("incarnation", upstream.last.incarnation.value())
        .add("draining", upstream.last.draining)
        .add("left", upstream.left)
        .add("hosts", static_cast<std::int64_t>(hosts_.size()));
    confirmation.mapped().on_end(false);
}

void control_node::check_departure()
{
    if (confirmations_.empty() || !departure_is_recorded())
        return;
    for (auto& [id, confirmation] : std::exchange(confirmations_, {}))
    {
        timers_.cancel(confirmation.timeout);
        confirmation.on_end(true);
    }
}

void control_node::ask_departure_replicas()
{
    if (confirmations_.empty() || departure_is_recorded())
        return;
    auto const departure = departure_number_;
    for (auto const& peer : departure_replicas_.next_peers(hosts_))
        send_entry(peer, own_entry(),
                   [this, peer, departure](exchange_result const& result)
                   {
                       // An upstream that drained may have left meanwhile.
                       if (departure != departure_number_)
                           return;
                       if (result.end == exchange_end::answered &&
                           result.response.status == 200)
                       {
                           departure_replicas_.on_held(peer);
                           log_event("departure_held_by_peer")
                               .add("peer", peer.value())
                               .add("recorded", departure_is_recorded());
                           return check_departure();
                       }
                       log_event("departure_not_held_by_peer",
                                 log_level::warning)
                           .add("peer", peer.value())
                           .add("end", to_string(result.end))
                           .add("status", result.response.status);
                       departure_replicas_.on_failure(peer);
                       ask_departure_replicas();
                   });
}

void control_node::send_entry(
    mesh::host_address const& host, mesh::host_entry entry,
    std::function<void(exchange_result const&)> on_end)
{
    // Suspicions have their own way to peers.
    entry.suspicions.clear();
    post_to_peer(host, departures_path, write_host_entry(entry),
                 std::move(on_end));
}

void control_node::receive_departure(
    std::shared_ptr<server_exchange> const& from, std::string const& body)
{
    auto entry = parse_host_entry(body);
    if (!entry.ok())
    {
        log_event("peer_request_not_readable", log_level::warning)
            .add("from", from->remote_host())
            .add("error", std::string(entry.status().message()));
        return from->respond({.status = 400}, false);
    }
    if (entry->host == options_.host)
    {
        from->respond({.status = 200}, false);
        if (entry->boot != boot_)
            apply_earlier_entry(*entry, "peer");
        return;
    }
    // A stopping process cannot keep it.
    if (stopping_)
        return from->respond({.status = 503}, false);
    log_event("departure_kept")
        .add("host", entry->host.value())
        .add("incarnation", entry->incarnation.value())
        .add("draining", entry->draining)
        .add("left", entry->left);
    from->respond({.status = 200}, false);
    bool const was_empty = departures_.empty();
    write_kept_entry(*entry);
    departures_.keep(std::move(*entry), mono_now());
    if (was_empty)
        schedule_kept_entries();
}

void control_node::write_kept_entry(mesh::host_entry const& entry)
{
    auto const known = hosts_.find(entry.host);
    if (known != hosts_.end() && mesh::contains_departure(known->second, entry))
        return;
    auto const key = layout_.hosts_prefix + entry.host.value();
    store_.write(
        key, write_host_entry(entry), mirror_.revision_of(key),
        [this, host = entry.host](absl::StatusOr<store_revision> written)
        {
            read_later_era();
            // A conflict means that the entry has changed, or that
            // another holder has written it. After any other error,
            // the host or another holder writes it.
            log_event("kept_entry_written")
                .add("host", host.value())
                .add("revision",
                     written.ok() ? written->number() : std::int64_t{0})
                .add("error", std::string(written.status().message()));
        });
}

void control_node::schedule_kept_entries()
{
    timers_.after(kept_entry_interval, [this] { send_kept_entries(); });
}

void control_node::hand_over_kept_entries()
{
    for (auto const& entry : departures_.pending(hosts_, mono_now()))
        for (auto const& peer :
             mesh::departure_replicas({.own_host = options_.host})
                 .next_peers(hosts_))
            send_entry(peer, entry,
                       [peer](exchange_result const& result)
                       {
                           if (result.end != exchange_end::answered)
                               log_event("departure_not_held_by_peer",
                                         log_level::warning)
                                   .add("peer", peer.value())
                                   .add("end", to_string(result.end))
                                   .add("status", result.response.status);
                       });
}

void control_node::send_kept_entries()
{
    // Other peers have them now.
    if (stopping_)
        return;
    for (auto& entry : departures_.pending(hosts_, mono_now()))
    {
        auto const host = entry.host;
        // The response does not matter: the entry is sent until the store has
        // it.
        send_entry(host, std::move(entry), [](exchange_result const&) {});
    }
    if (!departures_.empty())
        schedule_kept_entries();
}

void control_node::apply_earlier_entry(mesh::host_entry const& entry,
                                       std::string_view source)
{
    if (entry.service != options_.service)
        return;
    auto const before = registration_.current();
    mesh::acknowledged_upstream const state{.incarnation = entry.incarnation,
                                            .started = entry.started,
                                            .sequence = entry.sequence,
                                            .draining = entry.draining,
                                            .left = entry.left};
    bool changed = registration_.set_acknowledged(state);
    // Only the entry of a registered upstream is published.
    if (registration_.restore_departure(state, mono_now()))
        changed = true;
    log_event("earlier_entry_read")
        .add("source", source)
        .add("incarnation", entry.incarnation.value())
        .add("draining", entry.draining)
        .add("left", entry.left)
        .add("sequence", entry.sequence)
        .add("registered", registration_.current().has_value());
    if (registration_.current())
    {
        if (changed)
            upstream_changed(source);
    }
    else if (before)
    {
        traffic_.set_upstream(std::nullopt);
        publish_hosts();
        check_departure();
    }
}

} // namespace pollenhall::sidecar
