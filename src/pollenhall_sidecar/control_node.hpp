// The control thread's part of a node: configuration, entries of hosts, the
// registration of the upstream beside the node, and readiness.

#pragma once

#include "client_pool.hpp"
#include "host_directory.hpp"
#include "node_metrics.hpp"
#include "node_options.hpp"
#include "shared_store.hpp"

#include <pollenhall/mesh/configuration.hpp>
#include <pollenhall/mesh/registration.hpp>

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
    std::function<void(std::shared_ptr<std::string const>)> set_shared_state;
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
    [[nodiscard]] std::string metrics_page() const { return metrics_.page(); }

private:
    void read_store();
    void watch_store();
    void on_store_error(std::string_view call, absl::Status const& status);
    void on_store_answer();
    void apply_items(store_items const& items, bool complete);
    void apply_configuration(std::string const& text, std::string_view source);
    void apply_host(std::string const& key, store_item const& item);
    void publish_hosts();
    void upstream_changed(std::string_view cause);
    [[nodiscard]] mesh::host_entry own_entry() const;
    void publish_entry();
    void read_own_entry();
    void check_upstream_health();
    void ask_peer(mesh::host_address const& host, int port);
    void ask_some_peer();
    void on_peer_state(mesh::host_address const& host,
                       exchange_result const& result);
    void share_state();

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

    std::shared_ptr<mesh::route_table const> routes_;
    std::string configuration_text_;
    std::map<mesh::host_address, mesh::host_entry> hosts_;
    mesh::upstream_registration registration_;

    std::vector<crash_suspicion> suspicions_;

    // What the store is known to hold under the own key.
    std::optional<std::string> published_;
    store_revision published_revision_;
    bool writing_ = false;
    // A write got no answer, so the own key must be read before the next.
    bool must_read_ = false;

    store_revision seen_;
    bool store_reachable_ = false;
    bool asking_peer_ = false;
    milliseconds retry_pause_{0};
    int health_checks_ = 0;
    std::shared_ptr<client_pool> upstream_pool_;
    std::map<mesh::host_address, std::shared_ptr<client_pool>> peer_pools_;
    bool stopping_ = false;
};

} // namespace pollenhall::sidecar
