// Immutable snapshot of the control thread's state, which other threads read
// without blocking.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/document_book.hpp>
#include <pollenhall/home_roster.hpp>
#include <pollenhall/membership.hpp>
#include <pollenhall/router.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace pollenhall
{

/// Upstreams of one service that accept work.
struct service_view
{
    std::vector<route_candidate> candidates;
};

/// Snapshot of the control thread's state.
struct node_view
{
    /// Never null.
    std::shared_ptr<declaration_set const> declarations =
        std::make_shared<declaration_set const>();
    /// Upstreams by service, including the one beside this node.
    std::map<service_name, service_view> services;
    /// All known peers, without this node.
    std::map<node_id, peer_info> peers;
    /// Record of this node.
    peer_info self;
    /// Never null.
    std::shared_ptr<std::map<service_name, roster_history> const> rosters =
        std::make_shared<std::map<service_name, roster_history> const>();
    /// Newest generations of the documents in force.
    std::vector<space_digest> spaces;
    /// Whether new calls are accepted from callers; false while the node stops.
    bool accepts_work = true;
    /// Whether declarations are in force, so that calls can be served.
    bool ready = false;

    /// Returns the upstreams of a service; null if none of its nodes is live.
    [[nodiscard]] service_view const* find(service_name const& service) const
    {
        auto const found = services.find(service);
        return found == services.end() ? nullptr : &found->second;
    }
};

/// Holds the current snapshot. The control thread sets it; any thread may read
/// it.
class view_holder
{
public:
    view_holder() : view_(std::make_shared<node_view const>()) {}

    [[nodiscard]] std::shared_ptr<node_view const> get() const
    {
        return view_.load();
    }
    void set(std::shared_ptr<node_view const> view)
    {
        view_.store(std::move(view));
    }

private:
    std::atomic<std::shared_ptr<node_view const>> view_;
};

} // namespace pollenhall
