// Admission gate in front of the upstream on the node's own host. Every call to
// that upstream, from local callers and from peers, passes through it. The gate
// verifies the service and the upstream's readiness, queues calls, forwards
// them and classifies the responses.

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

/// Options of `gate`.
struct gate_options
{
    service_name service;
    asio::ip::tcp::endpoint upstream_address;
    mesh::header_names headers;
    mesh::gate_queue_options queue{};
    /// Budget that the buffered bytes of responses are charged to; unlimited if
    /// null.
    std::shared_ptr<mesh::byte_budget> memory_budget{};
    /// Maximum wait for a slot, as a fraction of the call's latency objective.
    double max_wait_fraction = 0.5;
    /// Maximum wait for a slot of a call that has no latency objective.
    milliseconds default_max_wait{300};
};

/// A crash of the upstream.
struct upstream_crash
{
    // The start of the upstream that has ended.
    mesh::incarnation_id incarnation;
    std::optional<wall_time> started{};
    // Requests that were running, most recently started first.
    std::vector<fingerprint> in_flight;
};

/// Queues and forwards the calls to one upstream. Not thread-safe: used on the
/// traffic thread only.
class gate
{
public:
    gate(asio::io_context& context, deadline_timers& timers,
         gate_options options, node_metrics& metrics);

    /// Sets the current registration of the upstream; empty if there is none.
    /// Waiting calls are rejected if it does not accept work.
    void set_upstream(std::optional<mesh::registered_upstream> upstream);

    /// Submits a call and returns its number for `cancel`. `on_end` is called
    /// exactly once unless the call is cancelled, possibly before `submit`
    /// returns.
    mesh::gate_call_id submit(mesh_call call, attempt_handler on_end);
    /// Sets the handler of upstream crashes.
    void set_crash_handler(std::function<void(upstream_crash)> action)
    {
        on_crash_ = std::move(action);
    }
    /// Sets the check for requests that crash upstreams. It is made just before
    /// a call would be forwarded, so that it includes the latest crashes.
    void set_quarantine_check(std::function<bool(mesh_call const&)> check)
    {
        is_quarantined_ = std::move(check);
    }
    /// Sets the handler of calls that the upstream completed without an error.
    void set_completion_handler(std::function<void(mesh_call const&)> action)
    {
        on_completed_ = std::move(action);
    }
    /// Cancels a call without calling `on_end`. A non-idempotent call that is
    /// already running is left to complete.
    void cancel(mesh::gate_call_id number);

    /// Returns the metadata of the running call with this id, or null. Calls
    /// that the upstream makes while serving it carry ids prefixed with this
    /// id.
    [[nodiscard]] call_metadata const* find_running(request_id const& id) const;
    [[nodiscard]] mesh::upstream_load load() const;
    /// Number of calls that are waiting or running.
    [[nodiscard]] std::size_t active_calls() const
    {
        return calls_.size() + held_.size();
    }

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

    // Reason code if the upstream accepts no work or this call is not meant for
    // it; empty otherwise.
    [[nodiscard]] std::optional<std::string>
    reason_not_ready(call_metadata const& metadata) const;
    [[nodiscard]] milliseconds max_wait(mesh_call const& call) const;
    void start_ready_calls();
    void run(mesh::gate_call_id number);
    void on_exchange_end(mesh::gate_call_id number, exchange_result result);
    [[nodiscard]] attempt_result classify_result(exchange_result result) const;
    void finish(mesh::gate_call_id number, attempt_result result);
    // Records a call during which the upstream may have crashed.
    void record_unanswered_call(active_call const& item, mono_time now,
                                bool timed_out);
    void record_running_calls();
    // Delays the result of a call whose connection broke until it is known
    // whether the upstream crashed: a retry may depend on it.
    void hold(mesh::gate_call_id number, attempt_result result);
    void check_liveness();
    void release_held_calls(bool crashed);
    // What shows that the upstream has crashed.
    enum class crash_evidence
    {
        refused_connection,
        // The upstream has started again without having left.
        new_start
    };
    // Reports a crash if calls ended without a response a short time before.
    // Calls that timed out count for a new start only: an upstream is more
    // often slow than silent at its end.
    void report_crash(mono_time now, crash_evidence evidence);
    void erase_running(request_id const& id, mesh::gate_call_id number);
    void reject_waiting_calls();
    void schedule_expiry();
    // Ends the calls that the queue has dropped.
    void expire_waiting_calls();

    node_metrics& metrics_;
    deadline_timers& timers_;
    gate_options options_;
    std::shared_ptr<client_pool> pool_;
    mesh::gate_queue queue_;
    std::optional<mesh::registered_upstream> upstream_;
    std::map<mesh::gate_call_id, active_call> calls_;
    std::map<request_id, mesh::gate_call_id> running_;
    // A call that ended without a response a short time ago: its connection to
    // the upstream broke, it timed out or it was cancelled.
    struct unanswered_call
    {
        mono_time ended{};
        mono_time started{};
        fingerprint content;
        // Whether the connection did not break.
        bool timed_out = false;
    };
    std::vector<unanswered_call> unanswered_calls_;
    struct held_call
    {
        attempt_handler on_end;
        attempt_result result;
    };
    // Calls that have left `calls_` and whose result is delayed.
    std::map<mesh::gate_call_id, held_call> held_;
    bool checking_liveness_ = false;
    std::function<void(upstream_crash)> on_crash_;
    std::function<bool(mesh_call const&)> is_quarantined_;
    std::function<void(mesh_call const&)> on_completed_;
    std::uint64_t last_number_ = 0;
    bool expiry_scheduled_ = false;
};

} // namespace pollenhall::sidecar
