// Names of the header fields that the platform and the mesh share. `platform/`
// sets them, so that no other code depends on the names.

#pragma once

#include <string>

namespace pollenhall::mesh
{

/// Names of header fields, by the content of the field.
struct header_names
{
    /// Identifies one attempt of a caller; echoed in responses.
    std::string request_id;
    /// Remaining time until the deadline of the request, in ms.
    std::string time_left_ms;
    /// Service on whose host the request was made.
    std::string caller_service;
    /// The only incarnation that may run the request.
    std::string expected_incarnation;
    /// Incarnation that sends the response.
    std::string incarnation;
    /// Marks a response that was created by the upstream itself.
    std::string signature;
    /// Tells that the upstream did not run the request.
    std::string not_run;
    /// Time in seconds, with fractions, after which a caller may retry.
    std::string retry_after;

    bool operator==(header_names const&) const = default;
};

} // namespace pollenhall::mesh
