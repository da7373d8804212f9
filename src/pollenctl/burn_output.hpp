// Writes the report on error budget burn as text, JSON or HTML. All formats are
// generated from the same reply.

#pragma once

#include <iosfwd>

#include <operator_types.h>

namespace pollenhall
{

/// Writes the report as text for a terminal.
void write_burn_text(std::ostream& out, rpc::burn_reply const& reply);
/// Writes the report as one JSON object.
void write_burn_json(std::ostream& out, rpc::burn_reply const& reply);
/// Writes the report as one HTML page without external resources.
void write_burn_html(std::ostream& out, rpc::burn_reply const& reply);

} // namespace pollenhall
