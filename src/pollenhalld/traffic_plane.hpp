// The traffic thread: connections to peers, calls of callers and peers, the
// upstream's work. Other threads reach it only through the functions below,
// which may be called from any thread.

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

/// What the control thread is told; called on the traffic thread.
struct traffic_events
{
    /// A frame that concerns control state.
    std::function<void(link_id, wire::frame)> on_control_frame;
    std::function<void(std::vector<crash_suspicion>)> on_suspicions;
    std::function<void()> on_upstream_unreachable;
    std::function<void(std::vector<roster_status>)> on_roster_status;
};

/// What a question to all nodes is about, besides counts.
struct query_subject
{
    /// Member whose ends are wanted.
    std::optional<member_name> burn_member;
    /// Trace whose decisions are wanted; empty for none.
    std::string trace_id;
};

/// Numbers for metrics; a copy made on the traffic thread.
struct traffic_snapshot
{
    board counts;
    /// Set if a member was asked for.
    std::optional<wire::burn_part> burn;
    /// Decisions on the trace that was asked for.
    std::vector<decision_record> decisions;
    load_hint load;
    link_counters links;
};

/// The traffic thread and what runs on it.
class traffic_plane
{
public:
    traffic_plane(node_settings const& settings, view_holder const& view,
                  boot_id boot, traffic_events events);
    ~traffic_plane();
    traffic_plane(traffic_plane const&) = delete;
    traffic_plane& operator=(traffic_plane const&) = delete;

    /// Opens the peer port and starts the thread.
    absl::Status start();
    /// Ends the thread. Calls in progress should be done by then.
    void stop();

    /// Serves a call; the handler runs on the traffic thread. Returns the
    /// number to cancel it by.
    std::uint64_t serve(caller_request request, answer_handler handler);
    /// Ends a call whose caller has gone; its handler is still called.
    void cancel(std::uint64_t call);
    void set_upstream(announced_upstream upstream);
    void set_accepting(bool accepting);
    /// Takes in a suspicion that a peer shared.
    void add_suspicion(crash_suspicion suspicion);
    /// The view has changed.
    void refresh();

    /// Sends a frame to a peer.
    void post(peer_endpoint to, wire::frame frame);
    /// Sends a frame on the connection that another one came from.
    void reply(link_id link, wire::frame frame);
    /// Sends a frame to all peers that keep a connection to this node.
    void reply_to_all(wire::frame frame);

    /// Copies the counts; `handler` runs on the traffic thread.
    void snapshot(query_subject subject,
                  std::function<void(traffic_snapshot)> handler);
    /// Whether calls are in progress or answers still to be written.
    [[nodiscard]] bool is_idle() const { return idle_; }

private:
    void on_frame(link_id link, wire::frame&& frame);
    void on_request(link_id link, wire::call_request&& request);
    void on_cancel(link_id link, wire::call_cancel const& cancel);
    void on_link_closed(link_id link);
    void schedule_tick();
    void tick();

    node_settings const& settings_;
    traffic_events events_;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    traffic_core core_;
    std::unique_ptr<call_entry> entry_;
    asio::steady_timer tick_timer_;
    // Calls that peers sent and that are not answered.
    std::map<std::pair<link_id, std::int64_t>, try_canceller> peer_calls_;
    // What the control thread was told last.
    std::vector<roster_status> told_statuses_;
    std::atomic<std::uint64_t> next_call_{1};
    std::atomic<bool> idle_{true};
    std::thread thread_;
};

} // namespace pollenhall
