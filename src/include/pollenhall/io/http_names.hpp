// Names of HTTP headers and paths in the interface to callers and upstreams.
// See docs/http-contract.md.

#pragma once

#include <algorithm>
#include <string_view>

namespace pollenhall::http_names
{

/// Outcome of a call, on every response: `completed`, `not_run` or `unknown`.
inline constexpr std::string_view outcome = "Pollenhall-Outcome";
/// Why a call was refused: a name of `refusal`.
inline constexpr std::string_view reason = "Pollenhall-Reason";
/// Time left, in ms. Callers may set a shorter timeout than the declared
/// deadline; upstreams receive the time left until the deadline.
inline constexpr std::string_view timeout = "Pollenhall-Timeout-Ms";
/// Idempotency key of a request that must run at most once.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
/// Headers of the W3C trace context.
inline constexpr std::string_view traceparent = "traceparent";
inline constexpr std::string_view tracestate = "tracestate";
/// Path prefix of all calls: `/call/SERVICE/KIND`.
inline constexpr std::string_view call_path = "/call/";
/// Path at which an upstream announces itself.
inline constexpr std::string_view upstream_path = "/v1/upstream";

/// Compares header names, which are ASCII, ignoring case.
inline bool are_equal(std::string_view left, std::string_view right)
{
    auto const lower = [](char c)
    { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

} // namespace pollenhall::http_names
