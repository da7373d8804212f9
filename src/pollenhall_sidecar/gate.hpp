// The gate to the upstream on the node's own host: the one place where calls
// start. Checks that the upstream is the one that was meant and takes work,
// queues, runs, and reads its answers.

#pragma once

#include "call.hpp"
#include "client_pool.hpp"
#include "node_metrics.hpp"

#include <pollenhall/mesh/gate_queue.hpp>
#include <pollenhall/mesh/registration.hpp>

#include <map>
#include <memory>

namespace pollenhall::sidecar
{

/// Settings of `gate`.
struct gate_options
{
    service_name service;
    asio::ip::tcp::endpoint upstream_address;
    mesh::header_names headers;
    mesh::gate_queue_options queue{};
    /// Longest wait for a slot, as a share of a call's objective.
    double max_wait_share = 0.5;
    /// Longest wait of a call without an objective.
    milliseconds default_max_wait{300};
};

/// Calls at one upstream. Used on the traffic thread.
class gate
{
public:
    gate(asio::io_context& context, deadline_timers& timers,
         gate_options options, node_metrics& metrics);

    /// The upstream as the control thread knows it.
    void set_upstream(std::optional<mesh::registered_upstream> upstream);

    /// Takes a call; `on_end` is called once unless the call is cancelled. It
    /// may be called before this returns.
    mesh::gate_call submit(mesh_call call, attempt_handler on_end);
    /// Called with the requests that the upstream ran when it crashed, the
    /// latest start first.
    void on_crash(std::function<void(std::vector<fingerprint>)> action)
    {
        on_crash_ = std::move(action);
    }
    /// Called with each request that ran to a good end.
    void on_completed(std::function<void(mesh_call const&)> action)
    {
        on_completed_ = std::move(action);
    }
    /// Gives a call up without calling `on_end`. One that may not be repeated
    /// and already runs is left to run to its end.
    void cancel(mesh::gate_call number);

    /// Terms of the call that runs at the upstream under an id; null if there
    /// is none. Calls that the upstream makes meanwhile carry ids that begin
    /// with it.
    [[nodiscard]] call_terms const* running(request_id const& id) const;
    [[nodiscard]] mesh::upstream_load load() const;
    /// Calls that wait or run.
    [[nodiscard]] std::size_t active() const { return calls_.size(); }

private:
    struct active_call
    {
        mesh_call call;
        attempt_handler on_end;
        std::shared_ptr<client_connection> exchange{};
        mono_time arrived{};
        mono_time started{};
        bool running = false;
    };

    [[nodiscard]] std::optional<std::string>
    reason_not_ready(call_terms const& terms) const;
    [[nodiscard]] milliseconds max_wait(mesh_call const& call) const;
    void start_calls();
    void run(mesh::gate_call number);
    void on_exchange_end(mesh::gate_call number, exchange_result result);
    [[nodiscard]] attempt_result read_result(exchange_result result) const;
    void finish(mesh::gate_call number, attempt_result result);
    void note_broken(active_call const& item, mono_time now);
    void confirm_crash(mono_time now);
    void forget_running(request_id const& id, mesh::gate_call number);
    void drop_waiting();
    void schedule_sweep();
    void sweep();

    node_metrics& metrics_;
    deadline_timers& timers_;
    gate_options options_;
    std::shared_ptr<client_pool> pool_;
    mesh::gate_queue queue_;
    std::optional<mesh::registered_upstream> upstream_;
    std::map<mesh::gate_call, active_call> calls_;
    std::map<request_id, mesh::gate_call> running_;
    // Calls whose connection the upstream broke off lately, by when they
    // started.
    struct broken_call
    {
        mono_time broken{};
        mono_time started{};
        fingerprint content;
    };
    std::vector<broken_call> broken_;
    std::function<void(std::vector<fingerprint>)> on_crash_;
    std::function<void(mesh_call const&)> on_completed_;
    std::uint64_t last_number_ = 0;
    bool sweep_scheduled_ = false;
};

} // namespace pollenhall::sidecar
