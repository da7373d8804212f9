// One request of a caller from its arrival to its answer: attempts at
// upstreams, within its time and its allowance of repeats.

#pragma once

#include "traffic_node.hpp"

namespace pollenhall::sidecar
{

/// A request of a caller on this host. Lives until it is answered or given up.
class origin_call : public std::enable_shared_from_this<origin_call>
{
public:
    origin_call(traffic_node& node, std::shared_ptr<server_connection> caller,
                mesh_call call, mesh::route const& route);
    ~origin_call();
    origin_call(origin_call const&) = delete;
    origin_call& operator=(origin_call const&) = delete;

    void start();

private:
    void attempt();
    // An attempt under way.
    struct open_attempt
    {
        mesh::host_address host;
        mono_time began{};
        // Where it is: at the own gate or on its way to a peer's.
        std::optional<mesh::gate_call> at_gate{};
        std::shared_ptr<client_connection> exchange{};
    };

    void send_to_gate(int number);
    void send_to_peer(int number, mesh::host_entry const& host);
    [[nodiscard]] attempt_result
    read_peer_result(mesh::host_address const& host, exchange_result result);
    void on_attempt_end(int number, attempt_result const& result);
    void note_answer(open_attempt const& ended, mesh::attempt_end end);
    void on_timeout();
    // Has another upstream run the call as well if the answer is overdue.
    // The first attempt goes on: silence says little of what becomes of it.
    void watch_answer();
    void on_overdue();
    [[nodiscard]] mesh::host_entry const* choose();
    bool spend_repeat();
    void note_reached(mesh::host_address const& host, mesh::attempt_end end);
    void on_abandoned();
    void cancel_attempts();
    void answer(mesh::next_step step, attempt_result const& result);
    void finish(std::string bytes);

    traffic_node& node_;
    std::shared_ptr<server_connection> caller_;
    mesh_call call_;
    // The table that holds route_ is kept alive.
    std::shared_ptr<mesh::route_table const> routes_;
    mesh::route const& route_;
    mesh::attempt_policy policy_;
    // Hosts that were tried, the last one at the end.
    std::vector<mesh::host_address> tried_;
    // Hosts whose upstream saw the request, and of these the ones that said
    // that they did not run it.
    std::vector<mesh::host_address> reached_;
    std::vector<mesh::host_address> refused_by_;
    // By number; two while an overdue answer is waited for.
    std::map<int, open_attempt> open_;
    deadline_timers::handle timeout_;
    deadline_timers::handle overdue_;
    mono_time arrived_;
    int attempts_ = 0;
    bool done_ = false;
};

} // namespace pollenhall::sidecar
