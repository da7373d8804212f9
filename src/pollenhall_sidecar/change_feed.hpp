// Tells peers what changed in the store: a peer asks for what came after a
// revision, and its answer waits until there is something or its time is up.

#pragma once

#include "server_connection.hpp"
#include "shared_store.hpp"

#include <map>

namespace pollenhall::sidecar
{

/// What one node tells another of the store.
struct change_report
{
    store_items changes;
    // Whether the node that tells hears from the store itself, or from a peer
    // that does.
    bool current = false;
};

std::string write_changes(change_report const& report);
absl::StatusOr<change_report> parse_changes(std::string const& text);
/// Target of the request for changes after a revision.
std::string changes_target(store_revision after, milliseconds wait);

/// Answers peers that ask for changes. Used on the control thread.
class change_feed
{
public:
    change_feed(deadline_timers& timers, mesh::store_mirror const& mirror);

    /// Handlers for the listener that peers ask at. The feed must live longer
    /// than the listener.
    [[nodiscard]] server_handlers handlers();
    /// Says whether news of the store comes in; while it doesn't, peers are
    /// answered at once, so that they can ask elsewhere.
    void set_current(bool current);
    /// Answers the peers that wait; called after the mirror has changed.
    void on_change();

private:
    struct waiting_peer
    {
        std::shared_ptr<server_connection> connection;
        store_revision after;
        deadline_timers::handle timeout{};
    };

    void serve(std::shared_ptr<server_connection> const& from,
               mesh::http_request const& request);
    void answer(std::shared_ptr<server_connection> const& to,
                store_revision after) const;
    void on_timeout(std::uint64_t number);

    deadline_timers& timers_;
    mesh::store_mirror const& mirror_;
    // By the order in which they came.
    std::map<std::uint64_t, waiting_peer> waiting_;
    std::uint64_t last_number_ = 0;
    bool current_ = false;
};

} // namespace pollenhall::sidecar
