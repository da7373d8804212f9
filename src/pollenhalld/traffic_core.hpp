// What the parts of the traffic thread share. Everything in here belongs to
// that thread, except the view, which any thread may read.

#pragma once

#include "node_view.hpp"

#include <pollenhall/board.hpp>
#include <pollenhall/burn_history.hpp>
#include <pollenhall/crash_guard.hpp>
#include <pollenhall/decision_log.hpp>
#include <pollenhall/hop_registry.hpp>
#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/io/peer_links.hpp>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>

namespace pollenhall
{

/// Shared state of the traffic thread.
struct traffic_core
{
    traffic_core(asio::io_context& io, node_settings const& node,
                 view_holder const& views, boot_id boot_number,
                 std::uint64_t seed)
        : context(io), settings(node), view(views), boot(boot_number),
          hops(seed), random(seed)
    {
    }

    asio::io_context& context;
    node_settings const& settings;
    view_holder const& view;
    /// This process among those of the node's name.
    boot_id boot;
    hop_registry hops;
    crash_guard guard;
    board counts;
    burn_history ends;
    decision_log decisions;
    std::mt19937_64 random;
    /// Set once before the thread starts.
    std::unique_ptr<peer_links> links;
    /// Tells the control thread of suspicions to share.
    std::function<void(std::vector<crash_suspicion>)> share_suspicions;
    /// Tells the control thread that the upstream cannot be reached.
    std::function<void()> report_unreachable;

    /// Remembers a decision on a call.
    void note_decision(decision_point point, forwarded_call const& call,
                       call_result const& result, node_id peer = {})
    {
        decisions.add({.at = wall_now(),
                       .trace_id = call.trace_id,
                       .member = call.member,
                       .kind = call.kind,
                       .point = point,
                       .result = result.what,
                       .reason = result.reason,
                       .peer = std::move(peer)});
    }

    [[nodiscard]] bool has_policy() const
    {
        return settings.policy == policy_mode::full;
    }
};

} // namespace pollenhall
