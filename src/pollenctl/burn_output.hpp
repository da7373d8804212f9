// Shows a report on service-level burn as text, JSON or a page of HTML. All
// three take their numbers from the same reply.

#pragma once

#include <iosfwd>

#include <operator_types.h>

namespace pollenhall
{

/// Writes the report for a terminal.
void write_burn_text(std::ostream& out, rpc::burn_reply const& reply);
/// Writes the report as one JSON object.
void write_burn_json(std::ostream& out, rpc::burn_reply const& reply);
/// Writes the report as one page that needs no other file.
void write_burn_html(std::ostream& out, rpc::burn_reply const& reply);

} // namespace pollenhall
