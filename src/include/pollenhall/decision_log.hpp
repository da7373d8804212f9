// Ring buffer of a node's latest decisions on requests, from which operators
// find out why a request had its outcome.

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

/// Point in the processing of a request at which a decision is taken.
enum class decision_point
{
    /// Response to a caller, or to the upstream that made the call.
    entry,
    /// End of an attempt, on the node that sent it.
    attempt,
    /// Decision of the home of an idempotency key.
    home,
    /// Completion or rejection at the upstream beside the node.
    upstream
};

/// Returns the name used in reports; `attempt` is reported as `try`.
std::string_view to_string(decision_point value);
/// Returns the point of that name; empty if there is none.
std::optional<decision_point> parse_decision_point(std::string_view name);

/// A decision on a request.
struct decision_record
{
    wall_time at{};
    std::string trace_id;
    /// Owner of the service that the request entered by; calls made for the
    /// request inherit it.
    member_name member;
    kind_ref kind;
    decision_point point = decision_point::entry;
    outcome result = outcome::unknown;
    std::optional<refusal> reason;
    /// Node to which an attempt was sent; empty at other points.
    node_id peer;

    bool operator==(decision_record const&) const = default;
};

/// A ring buffer of decisions. Not thread-safe.
class decision_log
{
public:
    /// Default number of decisions, about 1 MB.
    static constexpr std::size_t default_capacity = 4'096;

    explicit decision_log(std::size_t capacity = default_capacity)
        : capacity_(capacity)
    {
    }

    /// Adds a decision; overwrites the oldest if the buffer is full.
    void add(decision_record record);
    /// Returns the decisions on a trace, oldest first.
    [[nodiscard]] std::vector<decision_record>
    find(std::string_view trace_id) const;

private:
    std::size_t capacity_;
    // Index of the oldest record once the buffer is full; 0 before.
    std::size_t oldest_index_ = 0;
    std::vector<decision_record> records_;
};

} // namespace pollenhall
