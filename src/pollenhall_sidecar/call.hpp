// A call inside the mesh and how an attempt of it ended, for calls to the
// gate on the same host and to gates of peers alike.

#pragma once

#include <pollenhall/mesh/attempt_policy.hpp>
#include <pollenhall/mesh/call_rank.hpp>
#include <pollenhall/mesh/configuration.hpp>
#include <pollenhall/mesh/header_names.hpp>
#include <pollenhall/mesh/http_message.hpp>
#include <pollenhall/mesh/placement.hpp>

#include <functional>
#include <optional>
#include <string>

namespace pollenhall::sidecar
{

/// Id of one attempt of a caller.
using request_id = strong_value<struct request_id_tag, std::string>;

/// What a gate must know of a call besides the request.
struct call_terms
{
    service_name service;
    // The incarnation that the origin chose.
    mesh::incarnation_id expected;
    bool idempotent = false;
    mesh::call_rank rank{};
    // Time within which the answer has its full value; zero if not declared.
    milliseconds objective{0};
    // An upstream may have seen an earlier attempt.
    bool is_repeat = false;
    // Configuration in force at the origin.
    mesh::config_version version;
};

/// A call on its way to an upstream.
struct mesh_call
{
    request_id id;
    // Ready to be passed on, but for the time left and the incarnation.
    mesh::http_request request;
    call_terms terms;
    mono_time deadline{};
};

/// How an attempt ended.
struct attempt_result
{
    mesh::attempt_end end = mesh::attempt_end::unknown;
    // Only if answered, or if the upstream itself refused.
    mesh::http_response response{};
    // Why, in one word, for logs and metrics.
    std::string reason{};
    // The gate's upstream takes no work now; another may.
    bool gate_not_ready = false;
    // Time after which room is expected; zero if not known.
    milliseconds retry_after{0};
};

using attempt_handler = std::function<void(attempt_result)>;

/// Written forms of the two header fields that nodes add for each other.
extern std::string const terms_field;
extern std::string const result_field;
std::string write_terms(call_terms const& terms);
std::optional<call_terms> parse_terms(std::string_view text);

/// What a gate says of an attempt, beside the response.
struct gate_report
{
    mesh::attempt_end end = mesh::attempt_end::unknown;
    std::string reason{};
    bool gate_not_ready = false;
    milliseconds retry_after{0};
    mesh::config_version version;
    mesh::upstream_load load;
};
std::string write_report(gate_report const& report);
std::optional<gate_report> parse_report(std::string_view text);

/// Fingerprint of what a request asks for: the same when a caller sends it
/// again under another id, at whatever host.
fingerprint fingerprint_of(mesh::http_request const& request,
                           mesh::header_names const& names);

/// Time left of a call in whole ms, not below zero.
milliseconds time_left(mono_time deadline, mono_time now);

} // namespace pollenhall::sidecar
