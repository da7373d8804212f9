// The control state's talk with peers: changes of the store asked of them, and
// entries of hosts that are gone removed.

#include "control_node.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Time that the watch has to bring a version that a peer already knows.
constexpr milliseconds version_patience{250};
// How often some peer is asked for changes while none come in.
constexpr milliseconds peer_interval{1'000};
// Time that a peer has to answer beyond the wait that it was asked for. Nodes
// answer within ms; one that doesn't is cut off or stands still.
constexpr milliseconds peer_patience{300};
// Pause before peers are asked again after one has failed.
constexpr milliseconds follow_pause{50};

} // namespace

void control_node::follow_peer(mesh::host_address const& peer)
{
    request_changes(peer, options_.watch.peer_time,
                    [this, peer](exchange_result const& result)
                    { on_followed_peer(peer, result); });
}

void control_node::on_followed_peer(mesh::host_address const& peer,
                                    exchange_result const& result)
{
    if (!take_changes(peer, result))
    {
        relays_.on_failure(peer, mono_now());
        return follow_later(follow_pause);
    }
    relays_.on_answer(peer);
    set_hearing(true);
    publish_entry();
    follow();
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
                          ask_peer(host);
                  });
}

void control_node::ask_some_peer_later()
{
    timers_.after(peer_interval, [this] { ask_some_peer(); });
}

void control_node::ask_some_peer()
{
    if (hearing_ || stopping_)
        return;
    ask_some_peer_later();
    std::vector<mesh::host_address> others;
    for (auto const& [host, entry] : hosts_)
        if (host != options_.host)
            others.push_back(host);
    if (!others.empty())
        ask_peer(others[random_() % others.size()]);
}

void control_node::ask_peer(mesh::host_address const& host)
{
    if (asking_peer_)
        return;
    asking_peer_ = true;
    request_changes(host, milliseconds{0},
                    [this, host](exchange_result const& result)
                    {
                        asking_peer_ = false;
                        take_changes(host, result);
                    });
}

void control_node::request_changes(
    mesh::host_address const& host, milliseconds wait,
    std::function<void(exchange_result const&)> const& on_end)
{
    auto& pool = peer_pools_[host];
    if (!pool)
        pool = std::make_shared<client_pool>(
            context_, timers_,
            asio::ip::tcp::endpoint(asio::ip::make_address(host.value()),
                                    options_.peer_control.port()),
            client_pool_options{.connect_timeout = peer_patience});
    mesh::http_request request{.method = "GET",
                               .target = changes_target(mirror_.at(), wait)};
    request.fields.add("Host", host.value());
    pool->start({.bytes = mesh::write_request(request),
                 .deadline = mono_now() + wait + peer_patience,
                 .on_end = on_end});
}

void control_node::probe_next_host()
{
    if (stopping_)
        return;
    timers_.after(options_.vanished.probe_interval,
                  [this] { probe_next_host(); });
    // Without news it may be this node that is cut off.
    auto const host = hearing_
                          ? vanished_.next(relays_.looked_after(), mono_now())
                          : std::nullopt;
    if (!host)
        return;
    request_changes(*host, milliseconds{0},
                    [this, host = *host](exchange_result const& result)
                    {
                        bool const answered =
                            result.end == exchange_end::answered;
                        if (vanished_.on_probe(host, answered, mono_now()))
                            remove_entry(host);
                    });
}

void control_node::remove_entry(mesh::host_address const& host)
{
    auto const key = layout_.hosts_prefix + host.value();
    store_.remove(key, mirror_.revision_of(key),
                  [host](absl::StatusOr<store_revision> const& removed)
                  {
                      // A host that lives writes its entry again; an entry
                      // that is not removed is probed again.
                      log_event("host_entry_removed", log_level::warning)
                          .add("host", host.value())
                          .add("revision", removed.ok() ? removed->value()
                                                        : std::int64_t{0})
                          .add("error",
                               std::string(removed.status().message()));
                  });
}

bool control_node::take_changes(mesh::host_address const& host,
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
    apply_news(report->changes, "peer");
    return report->current;
}

} // namespace pollenhall::sidecar
