// Types of a call inside the mesh and of the result of an attempt, common to
// calls to the local gate and to the gates of peers, with their encoding in
// header fields between nodes.

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

/// Id of one attempt by a caller; a retry by the caller has a new id.
using request_id = strong_value<struct request_id_tag, std::string>;

/// Metadata of a call that a gate needs in addition to the request.
struct call_metadata
{
    service_name service;
    // Upstream incarnation that the origin node chose; the gate replaces it by
    // the current one.
    mesh::incarnation_id expected_incarnation;
    bool idempotent = false;
    mesh::call_rank rank{};
    // Latency objective; zero if none is declared.
    milliseconds objective{0};
    // Whether an upstream may have received an earlier attempt.
    bool is_retry = false;
    // Version of the active configuration at the origin node.
    mesh::config_version version;
};

/// A call to an upstream.
struct mesh_call
{
    request_id id;
    // Ready to be forwarded, except for the header fields that carry the time
    // left and the expected incarnation; these are set for each attempt.
    mesh::http_request request;
    call_metadata metadata;
    mono_time deadline{};
};

/// Result of one attempt.
struct attempt_result
{
    mesh::attempt_end end = mesh::attempt_end::unknown;
    // Set only if the upstream sent it, as its result or as a rejection.
    mesh::http_response response{};
    // Reason code for logs and metrics.
    std::string reason{};
    // The upstream behind the gate does not accept work now; another one may.
    bool gate_not_ready = false;
    // Delay after which capacity is expected; zero if unknown.
    milliseconds retry_after{0};
};

/// Reason code of an attempt that ended because the upstream crashed.
inline constexpr std::string_view upstream_crashed_reason = "upstream_crashed";
/// Retry-After delay of a quarantined request: the longest time that a caller
/// waits for a response.
inline constexpr milliseconds quarantine_retry_after{5'000};

using attempt_handler = std::function<void(attempt_result)>;

/// Header field that carries the call metadata in requests between nodes.
extern std::string const call_metadata_header;
/// Header field that carries the gate report in responses between nodes.
extern std::string const gate_report_header;
/// Encodes the value of `call_metadata_header`.
std::string format_call_metadata(call_metadata const& metadata);
/// Decodes the value of `call_metadata_header`; empty if it is malformed.
std::optional<call_metadata> parse_call_metadata(std::string_view text);

/// Result of an attempt as reported by a peer's gate, without the response.
struct gate_report
{
    mesh::attempt_end end = mesh::attempt_end::unknown;
    std::string reason{};
    bool gate_not_ready = false;
    milliseconds retry_after{0};
    mesh::config_version version;
    mesh::upstream_load load;
};
/// Encodes the value of `gate_report_header`.
std::string format_gate_report(gate_report const& report);
/// Decodes the value of `gate_report_header`; empty if it is malformed.
std::optional<gate_report> parse_gate_report(std::string_view text);

/// Returns a fingerprint of the request's content. It does not depend on the
/// request id, nor on the node or the caller that sends it, so that a request
/// that is sent again has the same fingerprint everywhere.
fingerprint fingerprint_of(mesh::http_request const& request);

/// Returns the time until `deadline` in whole milliseconds, at least zero.
milliseconds time_left(mono_time deadline, mono_time now);

} // namespace pollenhall::sidecar
