// Handles one request of a local caller from arrival to response: upstream
// selection, retries and hedging, within its deadline and the retry allowance.

#pragma once

#include "traffic_node.hpp"

namespace pollenhall::sidecar
{

/// A request of a caller on this host. The object keeps itself alive until the
/// response is sent or the caller disconnects.
class origin_call : public std::enable_shared_from_this<origin_call>
{
public:
    origin_call(traffic_node& node, std::shared_ptr<server_exchange> caller,
                mesh_call call, mesh::route const& route);
    ~origin_call();
    origin_call(origin_call const&) = delete;
    origin_call& operator=(origin_call const&) = delete;

    void start();

private:
    void start_attempt();
    // An attempt in progress.
    struct open_attempt
    {
        mesh::host_address host;
        mono_time started{};
        // The crash that has happened if the upstream ends during the attempt.
        crash_id possible_crash{};
        // At most one of these is set: the number of the call at the local
        // gate, or the exchange with a peer.
        std::optional<mesh::gate_call_id> gate_call_number{};
        std::shared_ptr<client_connection> exchange{};
    };

    void send_to_gate(int number);
    void send_to_peer(int number, mesh::host_entry const& host);
    [[nodiscard]] attempt_result read_peer_result(open_attempt const& attempt,
                                                  exchange_result result);
    void on_attempt_end(int number, attempt_result const& result);
    // Records the contact with the host and updates the response statistics of
    // the route.
    void record_outcome(open_attempt const& ended, mesh::attempt_end end);
    void on_timeout();
    // Starts the timer after which a second, hedged attempt is sent to another
    // upstream. The first attempt is not cancelled, as it may still succeed.
    void schedule_hedge();
    void on_hedge_timer();
    // Returns the upstream for the next attempt: one that was not tried yet, or
    // else one that rejected the call. Returns null if there is none.
    [[nodiscard]] mesh::host_entry const* choose_upstream();
    bool spend_retry();
    // Records that the upstream on a host may have received the request, and
    // whether it reported that it did not run it.
    void record_contact(mesh::host_address const& host, mesh::attempt_end end);
    void on_disconnect();
    void cancel_attempts();
    void respond(mesh::next_step step, attempt_result const& result);
    void finish(mesh::http_response const& response);

    traffic_node& node_;
    std::shared_ptr<server_exchange> caller_;
    mesh_call call_;
    // Keeps the table that owns route_ alive.
    std::shared_ptr<mesh::route_table const> routes_;
    mesh::route const& route_;
    mesh::attempt_policy policy_;
    // Hosts of all attempts so far, in order.
    std::vector<mesh::host_address> tried_;
    // Hosts whose upstream may have received the request, and the subset whose
    // upstream reported that it did not run it.
    std::vector<mesh::host_address> contacted_;
    std::vector<mesh::host_address> rejected_by_;
    // Attempts in progress by number; two while a hedged attempt is running.
    std::map<int, open_attempt> open_attempts_;
    deadline_timers::handle timeout_timer_;
    deadline_timers::handle hedge_timer_;
    mono_time arrived_;
    int attempt_count_ = 0;
    bool done_ = false;
};

} // namespace pollenhall::sidecar
