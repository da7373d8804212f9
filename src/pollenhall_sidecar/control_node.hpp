// The control thread's part of a node: configuration, entries of hosts, the
// registration of the upstream beside the node, and readiness.

#pragma once

#include "change_feed.hpp"
#include "client_pool.hpp"
#include "host_directory.hpp"
#include "node_metrics.hpp"
#include "node_options.hpp"
#include "shared_store.hpp"

#include <pollenhall/mesh/configuration.hpp>
#include <pollenhall/mesh/registration.hpp>
#include <pollenhall/mesh/store_relays.hpp>

#include <map>
#include <random>

namespace pollenhall::sidecar
{

/// What the control thread gives to the traffic thread. Each function is
/// called on the control thread and must not block.
struct traffic_feed
{
    std::function<void(std::shared_ptr<mesh::route_table const>)> set_routes;
    std::function<void(std::vector<mesh::host_entry>)> set_hosts;
    std::function<void(std::optional<mesh::registered_upstream>)> set_upstream;
};

/// Reads a configuration document.
using configuration_decoder =
    std::function<absl::StatusOr<mesh::configuration>(std::string const&)>;

/// Control state of a node. Used on the control thread.
class control_node
{
public:
    control_node(asio::io_context& context, node_options options,
                 store_layout layout, shared_store& store,
                 configuration_decoder decode, traffic_feed feed,
                 node_metrics& metrics);

    void start();
    /// From now on the node is not ready, and peers are told so.
    void stop();

    [[nodiscard]] bool ready() const { return routes_ && !stopping_; }

    mesh::heartbeat_result
    on_heartbeat(mesh::upstream_heartbeat const& heartbeat);
    void on_leave(mesh::incarnation_id const& incarnation);
    /// Tells other nodes what a crash casts suspicion on.
    void on_suspicions(std::vector<crash_suspicion> suspicions);
    /// A peer's answer shows a configuration that this node does not have.
    void on_newer_version(mesh::config_version version,
                          mesh::host_address const& host);

    [[nodiscard]] mesh::config_version version() const
    {
        return routes_ ? routes_->config().version : mesh::config_version();
    }
    /// Handlers for the listener at which peers ask for changes.
    [[nodiscard]] server_handlers peer_handlers()
    {
        return feed_out_.handlers();
    }
    [[nodiscard]] std::string metrics_page() const { return metrics_.page(); }

private:
    void read_store();
    // Waits for the next changes, from a peer or from the store.
    void follow();
    void follow_later(milliseconds pause);
    void follow_after_error();
    // A random time from half of `pause` up to it.
    [[nodiscard]] milliseconds spread(milliseconds pause);
    void watch_store();
    void follow_peer(mesh::host_address const& peer);
    void on_followed_peer(mesh::host_address const& peer,
                          exchange_result const& result);
    void on_store_error(std::string_view call, absl::Status const& status);
    void on_store_answer();
    // Whether news of the store comes in, from a peer or from the store.
    void set_hearing(bool hearing);
    void apply_news(store_items const& news, std::string_view source);
    void apply_configuration(std::string const& text, std::string_view source);
    void apply_host(store_item const& item);
    void publish_hosts();
    void upstream_changed(std::string_view cause);
    [[nodiscard]] mesh::host_entry own_entry() const;
    void publish_entry();
    void read_own_entry();
    void check_upstream_health();
    void ask_peer(mesh::host_address const& host);
    void ask_some_peer();
    void ask_some_peer_later();
    // Asks a peer for what changed after what is known.
    void
    request_changes(mesh::host_address const& host, milliseconds wait,
                    std::function<void(exchange_result const&)> const& on_end);
    // Removes entries of hosts that are gone for good, one probe at a time.
    void probe_next_host();
    void remove_entry(mesh::host_address const& host);
    // Takes a peer's answer in; false if it is none, or if the peer itself
    // hears nothing of the store.
    bool take_changes(mesh::host_address const& host,
                      exchange_result const& result);

    node_options options_;
    store_layout layout_;
    shared_store& store_;
    configuration_decoder decode_;
    traffic_feed feed_;
    node_metrics& metrics_;
    asio::io_context& context_;
    deadline_timers timers_;
    std::mt19937_64 random_;
    boot_id boot_;

    // What is known of the store. Everything else that comes from there is
    // derived from it.
    mesh::store_mirror mirror_;
    change_feed feed_out_;
    mesh::store_relays relays_;
    mesh::vanished_hosts vanished_;
    std::shared_ptr<mesh::route_table const> routes_;
    std::map<mesh::host_address, mesh::host_entry> hosts_;
    mesh::upstream_registration registration_;

    std::vector<crash_suspicion> suspicions_;

    // What the store is known to hold under the own key.
    std::optional<std::string> published_;
    store_revision published_revision_;
    bool writing_ = false;
    // A write got no answer, so the own key must be read before the next.
    bool must_read_ = false;

    // Whether the last own call to the store was answered.
    bool store_reachable_ = false;
    bool hearing_ = false;
    bool asking_peer_ = false;
    // Before the next call to a store that fails.
    milliseconds retry_pause_{0};
    mono_time next_store_try_{};
    // News may have been missed; a reading tells.
    bool must_read_all_ = true;
    int health_checks_ = 0;
    std::shared_ptr<client_pool> upstream_pool_;
    std::map<mesh::host_address, std::shared_ptr<client_pool>> peer_pools_;
    bool stopping_ = false;
};

} // namespace pollenhall::sidecar
