// A call as it travels between nodes, and its result, in the types of the
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

/// One HTTP header.
struct http_header
{
    std::string name;
    std::string value;
};

/// A try of a call on its way to an upstream.
struct forwarded_call
{
    kind_ref kind;
    std::string method;
    /// Path below the kind, with the query.
    std::string target;
    std::vector<http_header> headers;
    /// Shared, because several tries send the same body.
    std::shared_ptr<std::string const> body;
    mono_time deadline{};
    retry_count lent{0};
    importance level = importance::normal;
    int cohort = 0;
    int work_done = 0;
    std::string trace_id;
    member_name member;
    /// Absent for a repeatable kind.
    std::optional<idempotency_key> key;
    /// Set when the key's home sends it to run.
    bool delegated = false;
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
    retry_count returned{0};
    milliseconds retry_after{0};
    load_hint load;
    /// Whether the upstream failed in a way that another may not.
    bool upstream_failed = false;
    /// Whether a peer sent this; otherwise this node made it.
    bool from_peer = false;
};

/// Receives the result of a call; called exactly once.
using call_handler = std::function<void(call_result)>;

/// Number that correlates a call with its answer on one connection.
using correlation_id = strong_value<struct correlation_id_tag, std::int64_t>;

/// A refusal that ran nothing.
call_result make_refusal(refusal reason,
                         milliseconds retry_after = milliseconds{0});
/// A call that may have run and has no answer.
call_result make_unknown();
/// A call whose key's home did not answer.
call_result make_home_unreachable();

} // namespace pollenhall
