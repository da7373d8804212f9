// Converts between the types of the decision library and the messages of
// `idl/peer.thrift`, and encodes and decodes those messages.

#pragma once

#include <pollenhall/board.hpp>
#include <pollenhall/burn_history.hpp>
#include <pollenhall/decision_log.hpp>
#include <pollenhall/document_book.hpp>
#include <pollenhall/home_roster.hpp>
#include <pollenhall/io/calls.hpp>
#include <pollenhall/membership.hpp>

#include <peer_types.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace pollenhall
{

/// Maximum size of a frame; has room for a body of `max_body_bytes` and for
/// headers.
inline constexpr std::size_t max_frame_bytes = 18'874'368;
/// Maximum size of the body of a call or answer.
inline constexpr std::size_t max_body_bytes = 16'777'216;
/// Size of the length prefix of each frame: an unsigned big-endian number.
inline constexpr std::size_t frame_header_bytes = 4;

/// Encodes a frame with its length prefix.
std::string encode_frame(wire::frame const& frame);
/// Decodes a frame without its length prefix. Returns InvalidArgument unless
/// `bytes` is exactly one well-formed frame with exactly one known message.
absl::StatusOr<wire::frame> decode_frame(std::string_view bytes);
/// Decodes a length prefix; `header` holds `frame_header_bytes` bytes.
std::size_t decode_frame_length(std::string_view header);

/// Encodes a gossip datagram.
std::string encode_gossip(gossip_message const& message);
/// Decodes a gossip datagram. Returns FailedPrecondition, with the version in
/// the message, for an unsupported protocol version, and InvalidArgument for
/// malformed input.
absl::StatusOr<gossip_message> decode_gossip(std::string_view bytes);

/// Sends the deadline as the time left at `now`, so that the clocks of the
/// nodes need not agree.
wire::call_request to_wire(forwarded_call const& call, correlation_id id,
                           mono_time now);
/// Returns InvalidArgument if an idempotency key is present but malformed.
absl::StatusOr<forwarded_call> from_wire(wire::call_request&& request,
                                         mono_time now);
wire::call_answer to_wire(call_result const& result, correlation_id id);
/// Returns InvalidArgument if the answer has an unknown outcome, a status that
/// is not one of a response, or an invalid header field.
absl::StatusOr<call_result> from_wire(wire::call_answer&& answer);
wire::space_push to_wire(space_update const& update);
space_update from_wire(wire::space_push const& push);
std::vector<wire::board_row> to_wire(board const& counts);
board from_wire(std::vector<wire::board_row> const& rows);

/// Converts the part of a burn history that concerns one member.
wire::burn_part to_wire(burn_history const& history, member_name const& member,
                        wall_time now);
burn_summary from_wire(wire::burn_part const& part, member_name const& member);

std::vector<wire::decision_line>
to_wire(std::vector<decision_record> const& records);
/// The trace id is not transmitted and stays empty.
std::vector<decision_record>
from_wire(std::vector<wire::decision_line> const& lines);
wire::space_digest to_wire(space_digest const& digest);
space_digest from_wire(wire::space_digest const& digest);

} // namespace pollenhall
