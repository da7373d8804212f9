// The control thread: membership, declarations in force, rosters, the state of
// the upstream and the planned stop. It publishes a new snapshot whenever any
// of these changes.

#pragma once

#include "configuration.hpp"
#include "node_queries.hpp"
#include "node_view.hpp"
#include "seed_registry.hpp"
#include "store_agent.hpp"
#include "suspicion_registry.hpp"
#include "traffic_plane.hpp"

#include <pollenhall/io/document_writer.hpp>
#include <pollenhall/io/gossip_socket.hpp>
#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/membership.hpp>
#include <pollenhall/roster_proposer.hpp>
#include <pollenhall/state_chart.hpp>
#include <pollenhall/upstream_life.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenhall
{

/// State charts that the daemon interprets.
struct node_charts
{
    state_chart upstream;
    state_chart node_stop;
};

/// Reads the charts from a folder. Errors are added to `findings`.
node_charts load_charts(std::string const& folder, finding_list& findings);

/// Parameters of an apply, as the operator requested it.
struct apply_parameters
{
    std::vector<declaration_file> documents;
    /// Generation that the change is based on; empty for the newest.
    std::optional<generation> base;
    std::string apply_id;
    std::string actor;
};

/// Result of `control_plane::apply` or `control_plane::settle`.
struct apply_report
{
    write_report write;
    member_name member;
    std::vector<finding> findings;
    /// Documents in force on this node before the apply.
    std::vector<declaration_file> documents_before;
};

/// State and counters of the control thread, for metrics and status.
struct control_snapshot
{
    gossip_counters gossip;
    std::size_t live_peers = 0;
    /// Live peers whose upstream accepts work.
    std::size_t accepting_peers = 0;
    /// Calls to the store; a watch counts as one.
    std::uint64_t store_calls = 0;
    /// Whether the last read by the watch thread succeeded.
    bool store_reachable = false;
    /// Whether this node watches the store.
    bool watching = false;
    /// Name of the upstream's state in `charts/upstream.ini`.
    std::string upstream_state;
};

/// The control thread and the state it owns. Member functions may be called
/// from any thread unless noted otherwise.
class control_plane
{
public:
    control_plane(node_settings const& settings, node_charts const& charts,
                  view_holder& view, boot_id boot);
    ~control_plane();
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    /// Sets the traffic plane, which must live until `stop` has returned. Call
    /// it before `start`.
    void set_traffic(traffic_plane& traffic) { traffic_ = &traffic; }
    /// Binds the gossip port and starts the threads. Returns an error if the
    /// port cannot be bound.
    absl::Status start();
    /// Closes the socket and joins the threads.
    void stop();

    /// Records an announcement or a renewal by the upstream. Does not block.
    void announce_upstream(announced_upstream upstream);
    /// Fires an event of the upstream's state chart. Returns whether the
    /// current state accepts the event. Blocks.
    bool fire_upstream_event(std::string_view event);
    /// Fires the event for an unreachable upstream, `silent`. Does not block.
    void report_unreachable();
    /// Gossips crash suspicions to the peers, and stores those that must
    /// outlast all nodes. Does not block.
    void share_suspicions(std::vector<crash_suspicion> suspicions);
    /// Handles a frame from a peer that concerns control state. Does not block.
    void on_control_frame(link_id link, wire::frame frame);
    /// Replaces the roster states of the given services. Does not block.
    void on_roster_status(std::vector<roster_status> statuses);
    /// Rejects new calls and tells the peers that the upstream is draining.
    /// Blocks.
    void announce_stop();
    /// Tells the peers that this node has left. Blocks.
    void announce_departure();

    /// Checks a folder of declarations. Returns the member that it declares and
    /// the findings. Blocks.
    std::pair<member_name, std::vector<finding>>
    check(std::vector<declaration_file> documents);
    /// Writes changed declarations to the store, unless there are findings.
    /// Blocks until the store has answered or the write has failed.
    apply_report apply(apply_parameters parameters);
    /// Determines the result of an earlier apply whose answer was lost. Blocks.
    apply_report settle(member_name const& member, std::string const& apply_id);
    /// Returns all documents of a space that are in force on this node; none if
    /// the space is unknown. Blocks.
    space_update space_in_force(std::string space);
    /// Returns all that this node knows of a space.
    known_space known_in_force(std::string space);
    /// Queries all nodes. Blocks until all live nodes have answered or
    /// `timeout` has passed.
    query_result query_all_nodes(milliseconds timeout,
                                 query_subject subject = {});
    /// Returns the current state and counters. Blocks.
    control_snapshot snapshot();

private:
    // Runs a function on the control thread and returns its result.
    template <class Function>
    auto run_on_control_thread(Function function)
    {
        std::promise<decltype(function())> promise;
        auto future = promise.get_future();
        asio::post(context_, [&] { promise.set_value(function()); });
        return future.get();
    }
    // Runs a function on the store agent's job thread and returns its result.
    template <class Function>
    auto run_on_store_thread(Function function)
    {
        std::promise<decltype(function(std::declval<etcd_store&>()))> promise;
        auto future = promise.get_future();
        store_.submit([&](etcd_store& store)
                      { promise.set_value(function(store)); });
        return future.get();
    }

    void schedule_tick();
    void tick();
    void on_gossip(gossip_message const& message, peer_endpoint const& from);
    void publish_upstream();
    void merge(space_update const& update);
    // Merges what the store has, and stores again what a restored store has
    // lost.
    void on_stored_spaces(std::vector<space_update> const& spaces,
                          bool complete);
    void store_again(std::string const& space);
    [[nodiscard]] known_space known_space_of(std::string const& space) const;
    void pull_if_newer(space_digest const& digest, peer_endpoint const& from,
                       mono_time now);
    void on_pull(link_id link, wire::space_pull const& request);
    void on_book_digest(link_id link, wire::book_digest const& digest);
    void on_push(link_id link, wire::space_push const& push);
    void compare_book_hashes(gossip_message const& message,
                             peer_endpoint const& from, mono_time now);
    void rebuild_view();
    [[nodiscard]] service_view
    candidates_of(std::vector<peer_info const*> const& hosts) const;
    [[nodiscard]] bool has_store_role() const;
    [[nodiscard]] std::size_t count_accepting() const;
    void propose_roster(mono_time now);
    void on_node_query(link_id link, wire::board_pull const& request);
    void on_node_answer(wire::board_push const& push);

    node_settings const& settings_;
    view_holder& view_;
    traffic_plane* traffic_ = nullptr;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    gossip_socket socket_;
    membership members_;
    configuration configuration_;
    node_queries queries_;
    store_agent store_;
    seed_registry seeds_;
    suspicion_registry suspicions_;
    upstream_life upstream_life_;
    state_chart const& upstream_chart_;
    announced_upstream upstream_;
    roster_proposer proposer_;
    std::map<service_name, roster_status> roster_statuses_;
    asio::steady_timer tick_timer_;

    // Version of the membership table that the current view was built from.
    std::uint64_t built_version_ = 0;
    bool stopping_ = false;
    bool watching_ = false;
    // Pull requests in progress by space, with the time after which the space
    // may be requested again.
    std::map<std::string, mono_time> pending_pulls_;
    mono_time next_role_check_{};
    mono_time next_book_digest_{};
    // Time since which the peers' hashes of the documents differ from this
    // node's; empty if the last hash received was equal.
    std::optional<mono_time> books_differ_since_;
    std::thread thread_;
};

} // namespace pollenhall
