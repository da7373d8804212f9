// Names of HTTP headers and paths that callers and upstreams meet. See
// docs/http-contract.md.

#pragma once

#include <algorithm>
#include <string_view>

namespace pollenhall::http_names
{

/// `completed`, `not_run` or `unknown`, on every answer.
inline constexpr std::string_view outcome = "Pollenhall-Outcome";
/// Why a call was refused, a name of `refusal`.
inline constexpr std::string_view reason = "Pollenhall-Reason";
/// Time left, in ms: from callers a limit below the declared deadline, to
/// upstreams the time until the answer is worthless.
inline constexpr std::string_view timeout = "Pollenhall-Timeout-Ms";
/// Key of a request that must run at most once.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
/// W3C trace context.
inline constexpr std::string_view traceparent = "traceparent";
inline constexpr std::string_view tracestate = "tracestate";
/// Start of the path of all calls: `/call/SERVICE/KIND`.
inline constexpr std::string_view call_path = "/call/";
/// Path at which the upstream announces itself.
inline constexpr std::string_view upstream_path = "/v1/upstream";

/// Compares names of headers, which are ASCII, without regard to case.
inline bool are_equal(std::string_view left, std::string_view right)
{
    auto const lower = [](char c)
    { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

} // namespace pollenhall::http_names
