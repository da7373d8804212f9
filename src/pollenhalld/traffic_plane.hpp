// The traffic thread. It handles the connections to peers, the calls of callers
// and peers, and the queue of the local upstream. Other threads use it only
// through the functions below, which may be called from any thread.

#pragma once

#include "call_entry.hpp"
#include "node_view.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace pollenhall
{

/// Notifications to the control thread, called on the traffic thread.
struct traffic_plane_callbacks
{
    /// Receives each frame that concerns neither calls nor the sealing of
    /// roster epochs.
    std::function<void(link_id, wire::frame)> on_control_frame;
    std::function<void(std::vector<crash_suspicion>)> on_suspicions;
    std::function<void()> on_upstream_unreachable;
    std::function<void(std::vector<roster_status>)> on_roster_status;
};

/// What a query asks for besides counts.
struct query_subject
{
    /// Member whose burn history is requested.
    std::optional<member_name> burn_member;
    /// Trace whose decisions are requested; empty for none.
    std::string trace_id;
};

/// Copy of the traffic thread's state, for metrics and queries.
struct traffic_snapshot
{
    board counts;
    /// Burn history of the requested member; empty if none was requested.
    std::optional<wire::burn_part> burn;
    /// Decisions on the requested trace.
    std::vector<decision_record> decisions;
    load_hint load;
    link_counters links;
};

/// Owns the traffic thread and the objects that run on it.
class traffic_plane
{
public:
    traffic_plane(node_settings const& settings, view_holder const& view,
                  boot_id boot, traffic_plane_callbacks callbacks);
    ~traffic_plane();
    traffic_plane(traffic_plane const&) = delete;
    traffic_plane& operator=(traffic_plane const&) = delete;

    /// Binds the peer port and starts the thread. Returns an error if the port
    /// cannot be bound.
    absl::Status start();
    /// Stops the thread and waits for its end. No calls should be in progress.
    void stop();

    /// Starts a call. `handler` is called on the traffic thread. Returns the
    /// number to pass to `cancel`.
    std::uint64_t serve(caller_request request, answer_handler handler);
    /// Ends a call whose caller has disconnected. Its handler is still called.
    void cancel(std::uint64_t call);
    void set_upstream(announced_upstream upstream);
    /// Sets whether the local upstream accepts new calls.
    void set_accepting(bool accepting);
    /// Adds a crash suspicion received from a peer.
    void add_suspicion(crash_suspicion suspicion);
    /// Applies the current view; to be called when the view has changed.
    void refresh();

    /// Sends a frame to a peer; it may be lost.
    void post(peer_endpoint to, wire::frame frame);
    /// Sends a frame on the connection that another one came from.
    void reply(link_id link, wire::frame frame);
    /// Sends a frame on every connection that a peer opened to this node.
    void reply_to_all(wire::frame frame);

    /// Copies the counts and what `subject` asks for. `handler` is called on
    /// the traffic thread.
    void snapshot(query_subject subject,
                  std::function<void(traffic_snapshot)> handler);
    /// Whether no call is in progress and no frame waits to be written. Set to
    /// false when a call arrives, and updated every 50 ms.
    [[nodiscard]] bool is_idle() const { return idle_; }

private:
    void on_frame(link_id link, wire::frame&& frame);
    void on_request(link_id link, wire::call_request&& request);
    void on_cancel(link_id link, wire::call_cancel const& cancel);
    void on_link_closed(link_id link);
    void schedule_tick();
    void tick();

    node_settings const& settings_;
    traffic_plane_callbacks callbacks_;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    traffic_core core_;
    std::unique_ptr<call_entry> entry_;
    asio::steady_timer tick_timer_;
    // Cancellers of the calls that peers sent and that are not answered yet;
    // null while a call is being started.
    std::map<std::pair<link_id, std::int64_t>, attempt_canceller> peer_calls_;
    // Statuses last reported to the control thread.
    std::vector<roster_status> reported_statuses_;
    std::atomic<std::uint64_t> next_call_{1};
    std::atomic<bool> idle_{true};
    std::thread thread_;
};

} // namespace pollenhall
