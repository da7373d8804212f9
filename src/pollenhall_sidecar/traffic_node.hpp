// The traffic thread's part of a node: takes requests of callers on this
// host, places them, and takes calls of peers to the gate.

#pragma once

#include "client_pool.hpp"
#include "gate.hpp"
#include "listener.hpp"
#include "node_metrics.hpp"
#include "node_options.hpp"

#include <pollenhall/mesh/answer_record.hpp>

#include <random>

namespace pollenhall::sidecar
{

class origin_call;

/// Serves calls. All members but the constructor are used on the traffic
/// thread.
class traffic_node
{
public:
    traffic_node(asio::io_context& context, node_options options,
                 node_metrics& metrics);

    absl::Status open();

    void set_routes(std::shared_ptr<mesh::route_table const> routes);
    void set_hosts(std::vector<mesh::host_entry> hosts);
    void set_upstream(std::optional<mesh::registered_upstream> upstream);
    /// Called with the version of a configuration that a peer knows and this
    /// node doesn't, and the peer's host.
    void on_newer_version(
        std::function<void(mesh::config_version, mesh::host_address)> action)
    {
        on_newer_version_ = std::move(action);
    }

    /// Called with what a crash of the upstream beside the node casts
    /// suspicion on, for other nodes.
    void on_suspicions(std::function<void(std::vector<crash_suspicion>)> action)
    {
        on_suspicions_ = std::move(action);
    }

    /// Answers what was taken, takes what comes, and calls `on_stopped` when
    /// nothing is left or `grace` is over.
    void stop(milliseconds grace, std::function<void()> on_stopped);

private:
    friend class origin_call;

    void on_caller_request(std::shared_ptr<server_connection> const& from,
                           mesh::http_request request);
    void on_gate_request(std::shared_ptr<server_connection> const& from,
                         mesh::http_request request);
    void answer_peer(std::shared_ptr<server_connection> const& to,
                     std::string const& method, request_id const& id,
                     attempt_result result);
    void refuse(std::shared_ptr<server_connection> const& to, int status,
                std::string_view reason, std::string const& id,
                milliseconds retry_after);
    [[nodiscard]] std::string own_answer(int status, std::string_view reason,
                                         std::string const& id,
                                         milliseconds retry_after,
                                         bool closes = false) const;
    void on_crash(std::vector<fingerprint> const& in_flight);
    void take_suspicions(mesh::host_entry const& host);
    [[nodiscard]] bool is_quarantined(mesh::http_request const& request,
                                      service_name const& service);
    /// The call at the upstream on this host during which a request with this
    /// id was made; null for a request from outside.
    [[nodiscard]] call_terms const* parent_of(std::string const& id) const;
    void note_version(mesh::config_version version,
                      mesh::host_address const& host);
    std::shared_ptr<client_pool> peer_pool(mesh::host_entry const& host);
    void check_stopped();
    // Share of the time to stop that is over; only while stopping.
    [[nodiscard]] double stop_share_used() const;

    node_metrics& metrics_;
    asio::io_context& context_;
    node_options options_;
    deadline_timers timers_;
    gate gate_;
    mesh::placement placement_;
    mesh::retry_allowance allowance_;
    mesh::split_rotation rotation_;
    mesh::answer_record answers_;
    std::shared_ptr<mesh::route_table const> routes_;
    std::map<mesh::host_address, std::shared_ptr<client_pool>> pools_;
    // Bytes of requests and answers that connections hold.
    std::shared_ptr<mesh::byte_budget> budget_;
    listener callers_;
    listener peers_;
    crash_guard guard_;
    // Whether the guard has been told of any crash; fingerprints are only
    // computed from then on.
    bool has_suspicions_ = false;
    std::uint64_t crashes_ = 0;
    std::function<void(std::vector<crash_suspicion>)> on_suspicions_;
    std::mt19937_64 random_;
    std::function<void(mesh::config_version, mesh::host_address)>
        on_newer_version_;
    // Calls taken from callers that have no answer yet.
    std::size_t open_calls_ = 0;
    // Calls taken from peers that have no answer yet.
    std::size_t open_gate_calls_ = 0;
    mono_time last_request_{};
    bool stopping_ = false;
    mono_time stop_began_{};
    mono_time stop_at_{};
    std::function<void()> on_stopped_;
};

} // namespace pollenhall::sidecar
