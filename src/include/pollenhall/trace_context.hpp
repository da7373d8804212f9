// Trace context of a request, as published by the W3C (`traceparent` and
// `tracestate`). The node puts the hop it runs into `tracestate`, so that
// calls made by the upstream can be tied to their parent.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// Number that a node gives to a call that it runs; unique on that node.
enum class hop_id : std::uint64_t
{
};

/// Identity of a request over all its hops.
struct trace_context
{
    /// 32 lower-case hex digits, not all zero.
    std::string trace_id;
    /// Span of the sender, 16 lower-case hex digits.
    std::string parent_id;
    /// Hop of this node that the call belongs to, from `tracestate`.
    std::optional<hop_id> parent_hop;
};

/// Parses the two headers; empty if `traceparent` is malformed. A malformed
/// `tracestate` is ignored, as the recommendation asks.
std::optional<trace_context> parse_trace_context(std::string_view traceparent,
                                                 std::string_view tracestate);

/// Returns the `traceparent` header for a call that belongs to `hop`.
std::string format_traceparent(std::string_view trace_id, hop_id hop);
/// Returns the `tracestate` entry that names `hop`.
std::string format_tracestate(hop_id hop);
/// Makes a trace id from 128 random bits.
std::string make_trace_id(std::uint64_t high, std::uint64_t low);

/// Whether a text is 32 lower-case hex digits.
bool is_trace_id(std::string_view text);

/// Number of cohorts that requests of one class are divided into.
inline constexpr int cohort_count = 128;

/// Cohort of a request, the same at every hop: 0 to `cohort_count` - 1.
int cohort_of(std::string_view trace_id);

} // namespace pollenhall
