// State that the parts of the traffic thread share. Only that thread may use
// it, except the view, which any thread may read.

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
    /// Distinguishes this process from earlier ones of the same node.
    boot_id boot;
    hop_registry hops;
    crash_guard guard;
    board counts;
    burn_history burn;
    decision_log decisions;
    std::mt19937_64 random;
    /// Set before the thread starts and never replaced.
    std::unique_ptr<peer_links> links;
    /// Passes new suspicions to the control thread, which shares them with the
    /// peers.
    std::function<void(std::vector<crash_suspicion>)> share_suspicions;
    /// Reports to the control thread that the upstream is unreachable.
    std::function<void()> report_unreachable;

    /// Adds a decision on a call to the decision log. `peer` is the node that
    /// an attempt was sent to.
    void record_decision(decision_point point, forwarded_call const& call,
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

    /// Whether the full policy is in force; false in the baseline that the
    /// benchmark compares with.
    [[nodiscard]] bool has_policy() const
    {
        return settings.policy == policy_mode::full;
    }
};

} // namespace pollenhall
