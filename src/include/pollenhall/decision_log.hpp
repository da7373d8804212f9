// The last decisions on requests that a node took, for operators who ask why
// a request ended as it did. Bounded: the oldest are overwritten.

#pragma once

#include <pollenhall/call_plan.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/ids.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Where a decision was taken.
enum class decision_point
{
    /// Answer to a caller, or to the upstream that made the call.
    entry,
    /// End of a try, on the node that sent it.
    attempt,
    /// The home's answer on a key.
    home,
    /// End or refusal at the upstream beside the node.
    upstream
};

/// The name used in reports; `attempt` is called `try`.
std::string_view to_string(decision_point value);
/// The point of that name; empty if there is none.
std::optional<decision_point> parse_decision_point(std::string_view name);

/// One decision.
struct decision_record
{
    wall_time at{};
    std::string trace_id;
    /// Owner of the request at its entry.
    member_name member;
    kind_ref kind;
    decision_point point = decision_point::entry;
    outcome what = outcome::unknown;
    std::optional<refusal> reason;
    /// Node that a try went to; empty elsewhere.
    node_id peer;

    bool operator==(decision_record const&) const = default;
};

/// A ring of decisions. Not thread-safe.
class decision_log
{
public:
    /// Decisions that are kept by default, about 1 MB.
    static constexpr std::size_t default_capacity = 4'096;

    explicit decision_log(std::size_t capacity = default_capacity)
        : capacity_(capacity)
    {
    }

    /// Adds a decision, in place of the oldest if there is no room.
    void add(decision_record record);
    /// The decisions on a trace, oldest first.
    [[nodiscard]] std::vector<decision_record>
    find(std::string_view trace_id) const;

private:
    std::size_t capacity_;
    // Place of the oldest once the ring is full; 0 before.
    std::size_t oldest_ = 0;
    std::vector<decision_record> records_;
};

} // namespace pollenhall
