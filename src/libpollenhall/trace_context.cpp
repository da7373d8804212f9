// Implements parsing and formatting of the W3C trace context headers.

#include <pollenhall/hashing.hpp>
#include <pollenhall/trace_context.hpp>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace pollenhall
{
namespace
{

// Layout of version 00: 2, 32, 16 and 2 hex digits, separated by hyphens.
constexpr std::size_t traceparent_size = 55;
constexpr std::size_t trace_id_start = 3;
constexpr std::size_t trace_id_size = 32;
constexpr std::size_t parent_id_start = 36;
constexpr std::size_t parent_id_size = 16;
constexpr std::string_view tracestate_key = "pollenhall=";
constexpr int hex_base = 16;

bool is_lower_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'f');
                       });
}

bool is_all_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string to_hex(std::uint64_t value)
{
    std::ostringstream out;
    out << std::hex << std::setfill('0') << std::setw(parent_id_size) << value;
    return out.str();
}

std::optional<hop_id> find_hop(std::string_view tracestate)
{
    auto const start = tracestate.find(tracestate_key);
    if (start == std::string_view::npos)
        return std::nullopt;
    if (start != 0 && tracestate[start - 1] != ',' &&
        tracestate[start - 1] != ' ')
        return std::nullopt;
    auto const digits =
        tracestate.substr(start + tracestate_key.size(), parent_id_size);
    std::uint64_t value = 0;
    auto const* const end = digits.data() + digits.size();
    auto const result = std::from_chars(digits.data(), end, value, hex_base);
    if (result.ec != std::errc{} || digits.size() != parent_id_size ||
        result.ptr != end)
        return std::nullopt;
    return hop_id{value};
}

} // namespace

std::optional<trace_context> parse_trace_context(std::string_view traceparent,
                                                 std::string_view tracestate)
{
    if (traceparent.size() != traceparent_size ||
        !traceparent.starts_with("00-") || traceparent[35] != '-' ||
        traceparent[52] != '-')
        return std::nullopt;
    auto const trace_id = traceparent.substr(trace_id_start, trace_id_size);
    auto const parent_id = traceparent.substr(parent_id_start, parent_id_size);
    if (!is_lower_hex(trace_id) || !is_lower_hex(parent_id) ||
        is_all_zero(trace_id) || is_all_zero(parent_id))
        return std::nullopt;
    return trace_context{.trace_id = std::string(trace_id),
                         .parent_id = std::string(parent_id),
                         .parent_hop = find_hop(tracestate)};
}

std::string format_traceparent(std::string_view trace_id, hop_id hop)
{
    return "00-" + std::string(trace_id) + "-" +
           to_hex(static_cast<std::uint64_t>(hop)) + "-01";
}

std::string format_tracestate(hop_id hop)
{
    return std::string(tracestate_key) +
           to_hex(static_cast<std::uint64_t>(hop));
}

bool is_trace_id(std::string_view text)
{
    return text.size() == trace_id_size && is_lower_hex(text);
}

std::string make_trace_id(std::uint64_t high, std::uint64_t low)
{
    // Sets one bit, because an all-zero trace id is invalid.
    return to_hex(high) + to_hex(low | 1U);
}

int cohort_of(std::string_view trace_id)
{
    return static_cast<int>(hash_text(trace_id) % cohort_count);
}

} // namespace pollenhall
