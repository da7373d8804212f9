// Registry of the calls that run on the upstream beside this node. A nested
// call that the upstream makes is associated with its parent call here: it
// inherits the parent's retry budget, deadline and importance, and is cancelled
// when the parent ends.

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

/// A call that runs on the local upstream.
struct running_hop
{
    std::string trace_id;
    member_name member;
    importance level = importance::normal;
    int work_done = 0;
    mono_time deadline{};
    retry_budget budget{retry_count(0)};
    /// Unfinished nested calls that the upstream made for it.
    std::set<std::uint64_t> children;
};

/// All calls that run on the local upstream. Not thread-safe.
class hop_registry
{
public:
    /// Numbers start at `first_number`. A restarted node passes another one, so
    /// that it does not reuse the numbers of its previous process.
    explicit hop_registry(std::uint64_t first_number)
        : next_number_(first_number)
    {
    }

    /// Adds a call that starts to run; returns its new number.
    hop_id add(running_hop hop)
    {
        auto const id = hop_id{next_number_++};
        hops_.emplace(id, std::move(hop));
        return id;
    }

    /// Returns the number of the parent of a nested call: the hop in
    /// `tracestate` or, if that is missing, the parent id of `traceparent`,
    /// which an upstream that drops `tracestate` still forwards.
    static hop_id parent_hop_id(trace_context const& context)
    {
        constexpr int hex_base = 16;
        if (context.parent_hop)
            return *context.parent_hop;
        return hop_id{std::stoull(context.parent_id, nullptr, hex_base)};
    }

    /// Returns the parent of a nested call, or null if it does not run here or
    /// belongs to another trace.
    running_hop* find_parent(trace_context const& context)
    {
        auto* const hop = find(parent_hop_id(context));
        bool const same_trace =
            hop != nullptr && hop->trace_id == context.trace_id;
        return same_trace ? hop : nullptr;
    }

    /// Returns the call, or null if it does not run here.
    running_hop* find(hop_id id)
    {
        auto const found = hops_.find(id);
        return found == hops_.end() ? nullptr : &found->second;
    }

    /// Removes and returns a call that has ended; empty if it does not run
    /// here.
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
    std::uint64_t next_number_;
};

} // namespace pollenhall
