// The control thread: membership, declarations in force, rosters, the life of
// the upstream and the planned stop. Publishes a snapshot whenever something
// changes. Functions may be called from any thread unless said otherwise.

#pragma once

#include "configuration.hpp"
#include "node_queries.hpp"
#include "node_view.hpp"
#include "seed_registry.hpp"
#include "store_agent.hpp"
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

/// The charts that the daemon interprets.
struct node_charts
{
    state_chart upstream;
    state_chart node_stop;
};

/// Reads the charts from a folder; faults are added to `findings`.
node_charts load_charts(std::string const& folder, finding_list& findings);

/// An apply as the operator asked for it.
struct apply_order
{
    std::vector<declaration_file> documents;
    /// Generation that the operator has seen; empty for the newest.
    std::optional<generation> base;
    std::string apply_id;
    std::string actor;
};

/// Result of an apply or of settling one.
struct apply_report
{
    write_report written;
    member_name member;
    std::vector<finding> findings;
    /// Documents in force on this node before the apply.
    std::vector<declaration_file> before;
};

/// Numbers for metrics and status.
struct control_snapshot
{
    gossip_counters gossip;
    std::size_t live_peers = 0;
    /// Live peers whose upstream accepts work.
    std::size_t accepting_peers = 0;
    std::uint64_t store_calls = 0;
    bool store_reachable = false;
    bool watching = false;
    std::string upstream_state;
};

/// The control thread and what runs on it.
class control_plane
{
public:
    control_plane(node_settings const& settings, node_charts const& charts,
                  view_holder& view, boot_id boot);
    ~control_plane();
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    /// The traffic thread to work with; call it before `start`.
    void connect(traffic_plane& traffic) { traffic_ = &traffic; }
    /// Binds the gossip port and starts the threads.
    absl::Status start();
    void stop();

    /// Notes an announcement or renewal by the upstream.
    void announce_upstream(announced_upstream upstream);
    /// Fires an event of the upstream's chart; returns whether its state
    /// accepts the event. Blocks.
    bool fire_upstream_event(std::string_view event);
    /// Like it, without waiting.
    void report_unreachable();
    void share_suspicions(std::vector<crash_suspicion> suspicions);
    void on_control_frame(link_id link, wire::frame frame);
    void on_roster_status(std::vector<roster_status> statuses);
    /// Refuses new calls and tells the peers that this node leaves. Blocks.
    void announce_stop();
    /// Says goodbye to the peers. Blocks.
    void say_goodbye();

    /// Findings of a folder, and the member that it declares. Blocks.
    std::pair<member_name, std::vector<finding>>
    check(std::vector<declaration_file> documents);
    /// Makes a change. Blocks until the store answered.
    apply_report apply(apply_order order);
    /// Finds out about an apply. Blocks.
    apply_report settle(member_name const& member, std::string const& apply_id);
    /// A space as it is in force here. Blocks.
    space_update in_force(std::string space);
    /// Asks all nodes; blocks until they answered or `patience` is over.
    platform_answers ask_all_nodes(milliseconds patience,
                                   query_subject subject = {});
    /// Blocks.
    control_snapshot snapshot();

private:
    // Runs a function on the control thread and waits for its result.
    template <class Function>
    auto call(Function function)
    {
        std::promise<decltype(function())> promise;
        auto future = promise.get_future();
        asio::post(context_, [&] { promise.set_value(function()); });
        return future.get();
    }
    // Runs a job on the store's thread and waits for its result.
    template <class Function>
    auto call_store(Function function)
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
    void pull(space_digest const& digest, peer_endpoint const& from,
              mono_time now);
    void on_pull(link_id link, wire::space_pull const& request);
    void on_book_digest(link_id link, wire::book_digest const& digest);
    void on_push(link_id link, wire::space_push const& push);
    void compare_books(gossip_message const& message, peer_endpoint const& from,
                       mono_time now);
    void rebuild_view();
    [[nodiscard]] service_view
    candidates_of(std::vector<peer_info const*> const& hosts) const;
    [[nodiscard]] bool has_store_role() const;
    [[nodiscard]] std::size_t count_accepting() const;
    void propose_roster(mono_time now);
    void answer_board(link_id link, wire::board_pull const& request);
    void on_board(wire::board_push const& push);

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
    upstream_life upstream_life_;
    state_chart const& upstream_chart_;
    announced_upstream upstream_;
    roster_proposer proposer_;
    std::map<service_name, roster_status> roster_statuses_;
    asio::steady_timer tick_timer_;

    // Version of the membership table that the view was built from.
    std::uint64_t built_version_ = 0;
    bool stopping_ = false;
    bool watching_ = false;
    // Pulls under way, and when each may be asked again.
    std::map<std::string, mono_time> pulls_;
    mono_time next_role_check_{};
    mono_time next_book_digest_{};
    std::optional<mono_time> books_differ_since_;
    std::thread thread_;
};

} // namespace pollenhall
