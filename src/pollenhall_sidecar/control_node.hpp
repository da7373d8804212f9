// Control state of a node: the configuration, the host entries, the
// registration of the upstream on this host, and readiness. A node watches the
// store directly or long-polls a peer that does.

#pragma once

#include "change_feed.hpp"
#include "client_pool.hpp"
#include "host_entry_json.hpp"
#include "node_metrics.hpp"
#include "node_options.hpp"
#include "shared_store.hpp"

#include <pollenhall/mesh/configuration.hpp>
#include <pollenhall/mesh/departures.hpp>
#include <pollenhall/mesh/registration.hpp>
#include <pollenhall/mesh/store_relays.hpp>
#include <pollenhall/mesh/suspicion_ledger.hpp>

#include <map>
#include <random>

namespace pollenhall::sidecar
{

/// Callbacks that pass control state to the traffic thread. They are called
/// on the control thread and must not block.
struct traffic_callbacks
{
    std::function<void(std::shared_ptr<mesh::route_table const>)> set_routes;
    std::function<void(std::vector<mesh::host_entry>)> set_hosts;
    std::function<void(std::optional<mesh::registered_upstream>)> set_upstream;
    std::function<void(std::vector<crash_suspicion>)> add_suspicions;
};

/// Parses a configuration document; returns an error if it is invalid.
using configuration_decoder =
    std::function<absl::StatusOr<mesh::configuration>(std::string const&)>;

/// Control state of a node. Not thread-safe: used on the control thread only.
class control_node
{
public:
    control_node(asio::io_context& context, node_options options,
                 store_layout layout, shared_store& store,
                 configuration_decoder decode, traffic_callbacks traffic,
                 node_metrics& metrics);

    void start();
    /// Marks the node as not ready and publishes this in its host entry.
    void stop();

    /// Whether a configuration is in force and the node is not stopping.
    [[nodiscard]] bool ready() const { return routes_ && !stopping_; }

    mesh::heartbeat_result
    on_heartbeat(mesh::upstream_heartbeat const& heartbeat);
    /// The upstream has deregistered and accepts no further calls.
    void on_leave(mesh::incarnation_id const& incarnation);
    /// Calls `on_end` with true as soon as the departure that the upstream has
    /// announced outlasts this process: the store or peers have it. Calls it
    /// with false if that takes too long for a response to the upstream. At
    /// once if the upstream has announced none.
    void confirm_departure(std::function<void(bool)> on_end);
    /// Sends requests that are suspected of crashing upstreams to other nodes,
    /// and publishes them in the host entry.
    void on_suspicions(std::vector<crash_suspicion> const& suspicions);
    /// Called when a response from `host` names a configuration version. If it
    /// is newer than the one in force, that host is polled for it.
    void on_newer_version(mesh::config_version version,
                          mesh::host_address const& host);

    /// Version of the configuration in force; the default value if there is
    /// none.
    [[nodiscard]] mesh::config_version version() const
    {
        return routes_ ? routes_->config().version : mesh::config_version();
    }
    /// Handlers for the listener that serves store changes to peers and
    /// receives suspicions from them.
    [[nodiscard]] server_handlers peer_handlers();
    [[nodiscard]] std::string metrics_page() const
    {
        return metrics_.serialize();
    }

private:
    void read_store();
    // Waits for the next changes, from a peer if one is available, otherwise
    // from the store.
    void wait_for_changes();
    void wait_for_changes_later(milliseconds delay);
    // Postpones the next watch of the store, so that it returns many changes.
    // Meanwhile a relay may become known.
    void postpone_watch();
    void retry_after_store_error();
    // Latest era that the store or a peer has reported. The mirror may be of an
    // earlier one.
    [[nodiscard]] store_era latest_era() const;
    // Reads the store if a response has reported a later era than that of the
    // mirror. The open watch may not show this before it ends.
    void read_later_era();
    // A random time between half of `delay` and `delay`.
    [[nodiscard]] milliseconds jittered(milliseconds delay);
    void watch_store();
    void watch_peer(mesh::host_address const& peer);
    // `wait_end` is until when the peer was to hold a response without changes.
    void on_peer_response(mesh::host_address const& peer, mono_time wait_end,
                          exchange_result const& result);
    // If this node is a relay, polls the other relays in turn.
    void poll_other_relay();
    void poll_other_relay_later();
    void on_store_error(std::string_view call, absl::Status const& status);
    void on_store_response();
    // Records whether this node receives store changes, from a peer or from
    // the store.
    void set_receiving_changes(bool receiving);
    void apply_changes(store_items const& update, std::string_view source);
    using host_entries = std::map<mesh::host_address, mesh::host_entry>;
    // The store has been restored from an older snapshot. `known` and
    // `known_hosts` are what was known before.
    void on_era_changed(store_revision known, host_entries const& known_hosts);
    // Uses entries that the store has lost for some time longer. Live hosts
    // write theirs again meanwhile.
    void use_lost_entries(host_entries const& known_hosts);
    // Keeps the departures that the store has lost for later processes of their
    // nodes.
    void keep_lost_departures(host_entries const& known_hosts);
    // Returns whether the document can be read; it need not be a newer one.
    bool apply_configuration(std::string const& text, std::string_view source);
    // Tells peers of the configuration in force if the store has an older one.
    void offer_unstored_configuration();
    void apply_host(store_item const& item);
    // The host whose entry has this key.
    [[nodiscard]] mesh::host_address host_of_key(std::string const& key) const;
    // Reads what an earlier process of this node acknowledged to the upstream.
    void read_acknowledged_upstream();
    // Another process has written the entry of this host.
    void on_own_entry_changed();
    // Applies an entry of an earlier process of this node.
    void apply_earlier_entry(mesh::host_entry const& entry,
                             std::string_view source);
    // Whether the departure of the upstream is in the store or held by peers.
    [[nodiscard]] bool departure_is_recorded() const;
    // Ends all pending confirmations if the departure is recorded.
    void check_departure();
    void on_confirm_timeout(std::uint64_t id);
    void ask_departure_replicas();
    // Sends the entry of a host that has announced a departure to a peer.
    void send_entry(mesh::host_address const& host, mesh::host_entry entry,
                    std::function<void(exchange_result const&)> on_end);
    void receive_departure(std::shared_ptr<server_exchange> const& from,
                           std::string const& body);
    // Writes the entry that a peer could not write itself.
    void write_kept_entry(mesh::host_entry const& entry);
    void schedule_kept_entries();
    // Sends kept entries to their hosts, until the store has them.
    void send_kept_entries();
    // Sends kept entries to other peers before this process ends.
    void hand_over_kept_entries();
    // Whether the registered upstream may get calls. An earlier process of this
    // node may have acknowledged that it leaves; as long as that is not known,
    // a single heartbeat may be a late one. If the store was away when this
    // process started, its entry may lack the departure: the processes that
    // held it may all have ended.
    [[nodiscard]] bool upstream_is_trusted() const
    {
        return (own_entry_known_ && store_contact_ == store_contact::at_once) ||
               early_heartbeats_ > 1;
    }
    void publish_hosts();
    void upstream_changed(std::string_view cause);
    [[nodiscard]] mesh::host_entry own_entry() const;
    // Key of the entry of this host.
    [[nodiscard]] std::string own_key() const;
    void publish_entry();
    // `text` is the entry that was written.
    void on_entry_written(std::string const& text,
                          absl::StatusOr<store_revision> const& written);
    void read_own_entry();
    void on_own_entry_read(absl::StatusOr<store_items> const& items);
    void check_upstream_health();
    void poll_peer(mesh::host_address const& host);
    void poll_random_peer();
    void schedule_peer_poll();
    // Requests the changes after the revision of the mirror from a peer, which
    // may hold the response for up to `wait`.
    void
    request_changes(mesh::host_address const& host, milliseconds wait,
                    std::function<void(exchange_result const&)> const& on_end);
    void post_to_peer(mesh::host_address const& host, std::string_view path,
                      std::string body,
                      std::function<void(exchange_result const&)> on_end);
    // The pool of connections to the control port of a peer.
    client_pool& peer_pool(mesh::host_address const& host);
    void receive_suspicions(std::shared_ptr<server_exchange> const& from,
                            std::string const& body);
    void send_suspicions(std::vector<crash_suspicion> const& suspicions);
    // Adds the suspicions in a host entry.
    void read_suspicions(mesh::host_entry const& entry);
    void schedule_adoption();
    // Probes one host of the zone and removes its entry if it has been
    // unreachable for long enough.
    void probe_next_host();
    void remove_entry(mesh::host_address const& host);
    // Applies a peer's response. Returns false if the peer cannot be relied on:
    // its response or the configuration in it is not valid, it does not receive
    // changes of the store, or it is of an earlier era.
    bool apply_peer_response(mesh::host_address const& host,
                             exchange_result const& result);

    node_options options_;
    store_layout layout_;
    shared_store& store_;
    configuration_decoder decode_;
    traffic_callbacks traffic_;
    node_metrics& metrics_;
    asio::io_context& context_;
    deadline_timers timers_;
    std::mt19937_64 random_;
    boot_id boot_;

    // Last known content of the store. All other state that comes from the
    // store is derived from it.
    mesh::store_mirror mirror_;
    change_feed change_feed_;
    mesh::store_relays relays_;
    mesh::vanished_hosts vanished_;
    std::shared_ptr<mesh::route_table const> routes_;
    // Document of the configuration in force. The store may lose it.
    std::string configuration_document_;
    // Entries in the store.
    host_entries hosts_;
    // Entries of an earlier era of the store that it has lost or has in an
    // older state. They replace those in hosts_ until the host writes its
    // entry.
    host_entries lost_hosts_;
    mesh::upstream_registration registration_;
    // Whether the entry of this host, or its absence, is known from the store.
    bool own_entry_known_ = false;
    // How the first call to the store ended.
    enum class store_contact
    {
        pending,
        at_once,
        after_failure
    };
    store_contact store_contact_ = store_contact::pending;
    // Heartbeats accepted while the upstream was not trusted.
    int early_heartbeats_ = 0;

    struct pending_confirmation
    {
        std::function<void(bool)> on_end;
        deadline_timers::handle timeout{};
    };

    // Counts changes of the registered upstream, so that a response to an
    // earlier departure is not taken for one to the current.
    std::uint64_t departure_number_ = 0;
    mesh::departure_replicas departure_replicas_;
    std::map<std::uint64_t, pending_confirmation> confirmations_;
    std::uint64_t last_confirmation_id_ = 0;
    // Entries that this node keeps for its peers.
    mesh::departure_keeper departures_;

    mesh::suspicion_ledger suspicions_;
    bool adoption_scheduled_ = false;

    // Last known value and revision of this host's key in the store.
    std::optional<std::string> published_entry_;
    store_revision published_revision_;
    bool writing_ = false;
    // A write failed or its outcome is unknown: this host's key must be read
    // before the next write.
    bool must_read_own_entry_ = false;

    // Whether the store responded to this node's last call.
    bool store_reachable_ = false;
    bool receiving_changes_ = false;
    bool polling_peer_ = false;
    // Until then the fleet is new; see store_watch_options::startup_time.
    mono_time startup_end_{};
    // Current backoff between calls to a failing store; 0 after a success.
    milliseconds retry_delay_{0};
    // Current backoff between writes of the entry of this host, which may be
    // rejected while the store responds to reads.
    milliseconds write_retry_delay_{0};
    // Delay before the next complete read after a watch that found no history;
    // 0 after a successful watch.
    milliseconds history_gone_delay_{0};
    mono_time next_store_attempt_{};
    // Changes may have been missed: the store must be read completely before
    // it is watched again.
    bool must_read_store_ = true;
    // Whether read_later_era has an open call or a scheduled retry.
    bool reading_later_era_ = false;
    int health_checks_ = 0;
    std::shared_ptr<client_pool> upstream_pool_;
    std::map<mesh::host_address, std::shared_ptr<client_pool>> peer_pools_;
    bool stopping_ = false;
};

} // namespace pollenhall::sidecar
