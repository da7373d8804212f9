// Calls that run on the upstream beside this node. A call that the upstream
// makes meanwhile is tied to its parent here: it draws on the parent's
// retries, deadline and importance, and ends when the parent ends.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/retry_budget.hpp>
#include <pollenhall/trace_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace pollenhall
{

/// A call that runs here.
struct running_hop
{
    std::string trace_id;
    member_name member;
    importance level = importance::normal;
    int work_done = 0;
    mono_time deadline{};
    retry_budget budget{retry_count(0)};
    /// Calls made by the upstream for it that are not finished.
    std::set<std::uint64_t> children;
};

/// All calls that run here. Not thread-safe.
class hop_registry
{
public:
    /// Numbers start at `first_number`, so that a restarted node does not use
    /// those of its predecessor.
    explicit hop_registry(std::uint64_t first_number) : next_(first_number) {}

    /// Adds a call that starts to run and gives it a number.
    hop_id add(running_hop hop)
    {
        auto const id = hop_id{next_++};
        hops_.emplace(id, std::move(hop));
        return id;
    }

    /// Number of the parent that a nested call names: the hop in
    /// `tracestate`, else its span, which an upstream that does not keep
    /// `tracestate` passes on.
    static hop_id id_of(trace_context const& context)
    {
        constexpr int hex_base = 16;
        if (context.parent_hop)
            return *context.parent_hop;
        return hop_id{std::stoull(context.parent_id, nullptr, hex_base)};
    }

    /// Finds the parent of a nested call; null if it does not run here.
    running_hop* find_parent(trace_context const& context)
    {
        auto* const hop = find(id_of(context));
        bool const same_trace =
            hop != nullptr && hop->trace_id == context.trace_id;
        return same_trace ? hop : nullptr;
    }

    /// Null if it does not run here.
    running_hop* find(hop_id id)
    {
        auto const found = hops_.find(id);
        return found == hops_.end() ? nullptr : &found->second;
    }

    /// Removes a call that ended and returns what was known of it.
    std::optional<running_hop> remove(hop_id id)
    {
        auto node = hops_.extract(id);
        if (node.empty())
            return std::nullopt;
        return std::move(node.mapped());
    }

    [[nodiscard]] std::size_t size() const { return hops_.size(); }

private:
    std::map<hop_id, running_hop> hops_;
    std::uint64_t next_;
};

} // namespace pollenhall
