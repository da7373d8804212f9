// W3C Trace Context of a request (headers `traceparent` and `tracestate`). A
// node adds the number of the running call to `tracestate`, so that nested
// calls made by the upstream can be associated with their parent.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// Number that a node assigns to a call on its upstream; unique on that node.
enum class hop_id : std::uint64_t
{
};

/// Identifies a request over all its hops.
struct trace_context
{
    /// 32 lower-case hex digits, not all zero.
    std::string trace_id;
    /// Span id of the sender, 16 lower-case hex digits, not all zero.
    std::string parent_id;
    /// Parent call on this node, from `tracestate`.
    std::optional<hop_id> parent_hop;
};

/// Parses the two headers; returns an empty value if `traceparent` is
/// malformed. A malformed `tracestate` is ignored, as the W3C recommendation
/// requires.
std::optional<trace_context> parse_trace_context(std::string_view traceparent,
                                                 std::string_view tracestate);

/// Returns the `traceparent` header for a call with the number `hop`.
std::string format_traceparent(std::string_view trace_id, hop_id hop);
/// Returns the `tracestate` entry for `hop`.
std::string format_tracestate(hop_id hop);
/// Returns a trace id made from 128 random bits.
std::string make_trace_id(std::uint64_t high, std::uint64_t low);

/// Returns whether a text is 32 lower-case hex digits.
bool is_trace_id(std::string_view text);

/// Number of cohorts that the requests of one class are divided into.
inline constexpr int cohort_count = 128;

/// Returns the cohort of a request, 0 to `cohort_count` - 1. It depends only on
/// the trace id, so it is the same at every hop.
int cohort_of(std::string_view trace_id);

} // namespace pollenhall
