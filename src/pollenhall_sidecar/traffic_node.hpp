// Data plane of a node, run on the traffic thread: accepts requests from
// callers on this host, routes them to upstreams, and passes calls from peers
// to the local gate.

#pragma once

#include "client_pool.hpp"
#include "gate.hpp"
#include "listener.hpp"
#include "node_metrics.hpp"
#include "node_options.hpp"

#include <pollenhall/mesh/pause_detector.hpp>
#include <pollenhall/mesh/response_stats.hpp>
#include <pollenhall/mesh/shutdown_policy.hpp>

#include <random>

namespace pollenhall::sidecar
{

class origin_call;

/// Serves calls from local callers and from peers. Not thread-safe: all members
/// except the constructor are used on the traffic thread only.
class traffic_node
{
public:
    traffic_node(asio::io_context& context, node_options options,
                 node_metrics& metrics);

    /// Starts to listen for callers and peers. Returns an error if one of the
    /// addresses cannot be opened.
    absl::Status open();

    void set_routes(std::shared_ptr<mesh::route_table const> routes);
    void set_hosts(std::vector<mesh::host_entry> hosts);
    void set_upstream(std::optional<mesh::registered_upstream> upstream);
    /// Sets the handler that is called when a peer reports a configuration
    /// version newer than this node's, with the version and the peer's host.
    void set_newer_version_handler(
        std::function<void(mesh::config_version, mesh::host_address)> action)
    {
        on_newer_version_ = std::move(action);
    }

    /// Adds crash suspicions from other nodes, or from an earlier process of
    /// this node.
    void add_suspicions(std::vector<crash_suspicion> const& suspicions);
    /// Sets the handler that publishes crash suspicions to other nodes after a
    /// crash of the local upstream, or the loss of a connection to a peer.
    void set_suspicion_handler(
        std::function<void(std::vector<crash_suspicion>)> action)
    {
        on_suspicions_ = std::move(action);
    }

    /// Starts a graceful shutdown. For a part of the grace time, requests that
    /// can be answered within it are accepted. `on_stopped` is called once all
    /// calls have ended and no more arrive, or when the process must end.
    void stop(mesh::shutdown_options const& options,
              std::function<void()> on_stopped);

private:
    friend class origin_call;

    void on_caller_request(std::shared_ptr<server_exchange> const& from,
                           mesh::http_request request);
    void on_peer_request(std::shared_ptr<server_exchange> const& from,
                         mesh::http_request request);
    void respond_to_peer(std::shared_ptr<server_exchange> const& to,
                         request_id const& id, attempt_result result);
    [[nodiscard]] mesh::http_response make_peer_response(request_id const& id,
                                                         attempt_result result);
    void log_large_body_rejected() const;
    // Called at a fixed interval to detect pauses of the process.
    void tick();
    // When the request arrived: when it was read, or the beginning of a pause
    // of the process that has just ended.
    [[nodiscard]] mono_time arrival_of(server_exchange const& exchange) const;
    void reject(std::shared_ptr<server_exchange> const& to, int status,
                std::string_view reason, std::string const& id,
                milliseconds retry_after);
    [[nodiscard]] mesh::http_response
    make_response(int status, std::string_view reason, std::string const& id,
                  milliseconds retry_after) const;
    void on_crash(upstream_crash const& crash);
    void publish_suspicions(std::vector<crash_suspicion> suspicions);
    // Records that a connection to a peer was lost during a call. The peer may
    // have ended together with its upstream, and then nobody else knows the
    // calls that were running there.
    void on_call_lost(crash_id possible_crash, mesh_call const& call,
                      mono_time started);
    void report_lost_calls();
    // Records a crash that the gate of a peer reports in the result of a call,
    // so that it is known before the call is retried.
    void on_crash_reported(crash_id crash, mesh_call const& call);
    [[nodiscard]] bool is_quarantined(mesh::http_request const& request,
                                      service_name const& service);
    void on_completed(mesh_call const& call);
    // Returns the metadata of the call at the local upstream that caused the
    // request with this id; null if the request came from outside the mesh.
    [[nodiscard]] call_metadata const*
    find_parent_call(std::string const& id) const;
    void check_peer_version(mesh::config_version version,
                            mesh::host_address const& host);
    std::shared_ptr<client_pool> peer_pool(mesh::host_entry const& host);
    // Ends the shutdown when no calls are left and no more are expected, or at
    // its deadline; otherwise checks again later.
    void check_stopped();
    // Whether a request may be accepted; false only while stopping.
    [[nodiscard]] bool accepts(mesh_call const& call, mesh::route const& route,
                               bool is_inner_call) const;
    // While stopping, sets a deadline by which the process can still respond.
    void limit_deadline(mesh_call& call) const;

    node_metrics& metrics_;
    asio::io_context& context_;
    node_options options_;
    deadline_timers timers_;
    // Limits the bytes of requests and responses buffered by connections.
    std::shared_ptr<mesh::byte_budget> memory_budget_;
    gate gate_;
    mesh::placement placement_;
    mesh::retry_allowance retry_allowance_;
    mesh::weighted_round_robin split_rotation_;
    mesh::response_stats response_stats_;
    std::shared_ptr<mesh::route_table const> routes_;
    std::map<mesh::host_address, std::shared_ptr<client_pool>> peer_pools_;
    listener caller_listener_;
    listener peer_listener_;
    crash_guard crash_guard_;
    // Whether any crash is known to crash_guard_. Fingerprints are computed
    // only from then on.
    bool has_suspicions_ = false;
    // Calls whose connection to a peer was lost within the last
    // `lost_calls_delay`, by the crash that may have ended them.
    struct lost_call
    {
        mono_time started{};
        fingerprint content;
    };
    std::map<crash_id, std::vector<lost_call>> lost_calls_;
    std::function<void(std::vector<crash_suspicion>)> on_suspicions_;
    std::mt19937_64 random_;
    std::function<void(mesh::config_version, mesh::host_address)>
        on_newer_version_;
    // Requests of callers that have no response yet.
    std::size_t open_calls_ = 0;
    // Calls of peers that have no response yet.
    std::size_t open_gate_calls_ = 0;
    mesh::pause_detector pauses_;
    // When the last request of a caller or call of a peer was accepted.
    mono_time last_accepted_{};
    // Set while stopping.
    std::optional<mesh::shutdown_policy> shutdown_;
    std::function<void()> on_stopped_;
};

} // namespace pollenhall::sidecar
