// A call that is forwarded between nodes, and its result, in the types of the
// decision library.

#pragma once

#include <pollenhall/call_plan.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/router.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenhall
{

/// One HTTP header field.
struct http_header
{
    std::string name;
    std::string value;
};

/// One attempt of a call, to be run on an upstream.
struct forwarded_call
{
    kind_ref kind;
    std::string method;
    /// Rest of the request target behind the kind: path and query.
    std::string target;
    std::vector<http_header> headers;
    /// Shared by all attempts of the call.
    std::shared_ptr<std::string const> body;
    mono_time deadline{};
    /// Retries that the receiver may spend; it returns unused ones.
    retry_count lent{0};
    importance level = importance::normal;
    int cohort = 0;
    int work_done = 0;
    std::string trace_id;
    member_name member;
    /// Empty for a repeatable kind.
    std::optional<idempotency_key> key;
    /// Set when the home of the idempotency key forwards the call to a node
    /// that is to run it.
    bool delegated = false;
    /// Identifies equal requests, to detect ones that crash upstreams.
    fingerprint content;
    int attempt = 1;
};

/// The rank of a call at this hop.
inline request_rank rank_of(forwarded_call const& call)
{
    return rank_of(call.level, call.cohort, call.work_done);
}

/// How a call ended.
struct call_result
{
    outcome what = outcome::unknown;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::optional<refusal> reason;
    /// Unused part of the lent retries.
    retry_count returned{0};
    milliseconds retry_after{0};
    load_hint load;
    /// Whether the upstream failed in a way that is specific to it, so that
    /// another upstream may succeed.
    bool upstream_failed = false;
    /// Whether a peer sent this result; otherwise this node created it.
    bool from_peer = false;
};

/// Receives the result of a call; called exactly once.
using call_handler = std::function<void(call_result)>;

/// Matches an answer to its call on one connection.
using correlation_id = strong_value<struct correlation_id_tag, std::int64_t>;

/// Result of a call that was refused and did not run.
call_result make_refusal(refusal reason,
                         milliseconds retry_after = milliseconds{0});
/// Result of a call that may have run and was not answered.
call_result make_unknown_result();
/// Result of a call whose idempotency key's home did not answer; whether the
/// call ran is unknown.
call_result make_home_unreachable_result();

} // namespace pollenhall
