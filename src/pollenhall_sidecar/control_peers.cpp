// Requests between control_node and its peers: long polls for store changes,
// probes of hosts whose entries may have to be removed, and crash suspicions.

#include "control_node.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// Delay before a peer with a newer configuration version is polled; usually
// the watch delivers that version earlier.
constexpr milliseconds version_poll_delay{250};
// How often a random peer is polled while the node receives no changes.
constexpr milliseconds peer_poll_interval{1'000};
// Connect timeout, and response timeout in addition to the requested wait.
// Nodes respond within milliseconds; one that does not is partitioned or
// frozen.
constexpr milliseconds peer_timeout{300};
// Delay before the next peer is watched after one has failed, or has responded
// early without a change.
constexpr milliseconds peer_failure_delay{50};
// Delay between two polls of other relays, so that the entries of many starting
// hosts arrive in a few batches. Even if one of the other relays is partitioned
// too, a configuration is in force within 2 s.
constexpr milliseconds other_relay_delay{300};
// Number of peers that a node sends new suspicions to. Up to this number of
// hosts, all of them get each suspicion from the node that reports it; in a
// larger mesh each receiver sends it on.
constexpr std::size_t suspicion_fanout = 16;
// How often a node checks for suspicions that no host entry contains.
constexpr milliseconds adoption_check_interval{500};

} // namespace

void control_node::watch_peer(mesh::host_address const& peer)
{
    auto const wait = relays_.must_verify(peer) ? milliseconds{0}
                                                : options_.watch.max_peer_wait;
    request_changes(peer, wait,
                    [this, peer, wait_end = mono_now() + wait](
                        exchange_result const& result)
                    { on_peer_response(peer, wait_end, result); });
}

void control_node::on_peer_response(mesh::host_address const& peer,
                                    mono_time wait_end,
                                    exchange_result const& result)
{
    auto const known = mirror_.revision();
    if (!apply_peer_response(peer, result))
    {
        relays_.on_failure(peer, mono_now());
        return wait_for_changes_later(peer_failure_delay);
    }
    relays_.on_response(peer);
    set_receiving_changes(true);
    publish_entry();
    if (mirror_.revision() == known && mono_now() < wait_end)
        return wait_for_changes_later(peer_failure_delay);
    wait_for_changes();
}

void control_node::poll_other_relay_later()
{
    timers_.after(other_relay_delay, [this] { poll_other_relay(); });
}

void control_node::poll_other_relay()
{
    if (stopping_)
        return;
    auto const relay = relays_.choose_other_relay(mono_now());
    if (!relay)
        return poll_other_relay_later();
    request_changes(*relay, options_.watch.max_peer_wait,
                    [this, relay = *relay](exchange_result const& result)
                    {
                        if (apply_peer_response(relay, result))
                            relays_.on_response(relay);
                        else
                            relays_.on_failure(relay, mono_now());
                        poll_other_relay_later();
                    });
}

void control_node::on_newer_version(mesh::config_version version,
                                    mesh::host_address const& host)
{
    if (polling_peer_ || version <= this->version())
        return;
    polling_peer_ = true;
    timers_.after(routes_ ? version_poll_delay : milliseconds{0},
                  [this, version, host]
                  {
                      polling_peer_ = false;
                      if (version > this->version())
                          poll_peer(host);
                  });
}

void control_node::schedule_peer_poll()
{
    timers_.after(peer_poll_interval, [this] { poll_random_peer(); });
}

void control_node::poll_random_peer()
{
    if (receiving_changes_ || stopping_)
        return;
    schedule_peer_poll();
    std::vector<mesh::host_address> others;
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host)
            others.push_back(host);
    if (!others.empty())
        poll_peer(others[random_() % others.size()]);
}

void control_node::poll_peer(mesh::host_address const& host)
{
    // The address of a peer is empty if its connection was reset before it was
    // read.
    if (polling_peer_ || host.value().empty())
        return;
    polling_peer_ = true;
    request_changes(host, milliseconds{0},
                    [this, host](exchange_result const& result)
                    {
                        polling_peer_ = false;
                        apply_peer_response(host, result);
                    });
}

client_pool& control_node::peer_pool(mesh::host_address const& host)
{
    auto& pool = peer_pools_[host];
    if (!pool)
        pool = std::make_shared<client_pool>(
            context_, timers_,
            asio::ip::tcp::endpoint(asio::ip::make_address(host.value()),
                                    options_.peer_control.port()),
            client_pool_options{.connect_timeout = peer_timeout});
    return *pool;
}

void control_node::request_changes(
    mesh::host_address const& host, milliseconds wait,
    std::function<void(exchange_result const&)> const& on_end)
{
    mesh::http_request request{
        .method = "GET",
        .target = changes_target(
            {.after = mirror_.revision(), .wait = wait, .version = version()})};
    request.fields.add("Host", host.value());
    peer_pool(host).start({.bytes = mesh::write_request(request),
                           .deadline = mono_now() + wait + peer_timeout,
                           .on_end = on_end});
}

void control_node::probe_next_host()
{
    if (stopping_)
        return;
    timers_.after(options_.vanished.probe_interval,
                  [this] { probe_next_host(); });
    // A node that receives no changes may be partitioned itself and must not
    // judge others.
    auto const host = receiving_changes_
                          ? vanished_.next(relays_.assigned_hosts(), mono_now())
                          : std::nullopt;
    if (!host)
        return;
    request_changes(*host, milliseconds{0},
                    [this, host = *host](exchange_result const& result)
                    {
                        bool const responded =
                            result.end == exchange_end::answered;
                        if (vanished_.on_probe(host, responded, mono_now()))
                            remove_entry(host);
                    });
}

void control_node::remove_entry(mesh::host_address const& host)
{
    auto const key = layout_.hosts_prefix + host.value();
    store_.remove(key, mirror_.revision_of(key),
                  [this, host](absl::StatusOr<store_revision> const& removed)
                  {
                      read_later_era();
                      // A live host writes its entry again. If the removal
                      // fails, the host is probed again.
                      log_event("host_entry_removed", log_level::warning)
                          .add("host", host.value())
                          .add("revision", removed.ok() ? removed->number()
                                                        : std::int64_t{0})
                          .add("error",
                               std::string(removed.status().message()));
                  });
}

bool control_node::apply_peer_response(mesh::host_address const& host,
                                       exchange_result const& result)
{
    auto const report =
        result.end == exchange_end::answered && result.response.status == 200
            ? parse_changes(result.response.body)
            : absl::UnavailableError(std::string(to_string(result.end)) + " " +
                                     result.detail);
    if (!report.ok())
    {
        log_event("peer_changes_not_read", log_level::warning)
            .add("peer", host.value())
            .add("error", std::string(report.status().message()))
            .add("status", result.response.status);
        return false;
    }
    bool const is_behind =
        report->changes.revision.era() < mirror_.revision().era();
    apply_changes(report->changes, "peer");
    // The peer responds at once for as long as it has a newer configuration, so
    // one that cannot be read would be requested without a pause.
    bool const is_readable =
        !report->newer_configuration ||
        apply_configuration(*report->newer_configuration, "peer");
    publish_entry();
    return report->current && !is_behind && is_readable;
}

server_handlers control_node::peer_handlers()
{
    auto handlers = change_feed_.handlers();
    handlers.on_request =
        [this, serve_changes = handlers.on_request](
            auto const& from, mesh::http_request const& request)
    {
        if (request.method == "POST" && request.target == suspicions_path)
            return receive_suspicions(from, request.body);
        if (request.method == "POST" && request.target == departures_path)
            return receive_departure(from, request.body);
        serve_changes(from, request);
    };
    return handlers;
}

void control_node::receive_suspicions(
    std::shared_ptr<server_exchange> const& from, std::string const& body)
{
    auto const received = parse_suspicions(body);
    if (!received.ok())
    {
        log_event("peer_request_not_readable", log_level::warning)
            .add("from", from->remote_host())
            .add("error", std::string(received.status().message()));
        return from->respond({.status = 400}, false);
    }
    from->respond({.status = 200}, false);
    auto const news = suspicions_.hear(*received, wall_now());
    if (news.empty())
        return;
    traffic_.add_suspicions(news);
    schedule_adoption();
    if (hosts_.size() > suspicion_fanout)
        send_suspicions(news);
}

void control_node::on_suspicions(std::vector<crash_suspicion> const& suspicions)
{
    auto const news = suspicions_.report(suspicions, wall_now());
    if (news.empty())
        return;
    publish_entry();
    send_suspicions(news);
}

void control_node::send_suspicions(
    std::vector<crash_suspicion> const& suspicions)
{
    std::vector<mesh::host_address> others;
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host)
            others.push_back(host);
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(), suspicion_fanout));
    for (auto const& host : others)
        post_to_peer(host, suspicions_path, write_suspicions(suspicions),
                     [host](exchange_result const& result)
                     {
                         // The host entries are a second way to the peer.
                         if (result.end != exchange_end::answered)
                             log_event("suspicions_not_sent",
                                       log_level::warning)
                                 .add("peer", host.value())
                                 .add("end", to_string(result.end))
                                 .add("detail", result.detail);
                     });
}

void control_node::post_to_peer(
    mesh::host_address const& host, std::string_view path, std::string body,
    std::function<void(exchange_result const&)> on_end)
{
    mesh::http_request request{
        .method = "POST", .target = std::string(path), .body = std::move(body)};
    request.fields.add("Host", host.value());
    peer_pool(host).start({.bytes = mesh::write_request(request),
                           .deadline = mono_now() + peer_timeout,
                           .on_end = std::move(on_end)});
}

void control_node::read_suspicions(mesh::host_entry const& entry)
{
    auto const news = suspicions_.read_entry(
        entry.suspicions, entry.host == options_.host, wall_now());
    if (!news.empty())
        traffic_.add_suspicions(news);
}

void control_node::schedule_adoption()
{
    if (adoption_scheduled_ || !suspicions_.has_unpublished())
        return;
    adoption_scheduled_ = true;
    timers_.after(jittered(2 * adoption_check_interval),
                  [this]
                  {
                      adoption_scheduled_ = false;
                      if (suspicions_.adopt(wall_now()))
                          publish_entry();
                      schedule_adoption();
                  });
}

} // namespace pollenhall::sidecar
