// Names of the header fields that the platform and the mesh share. Filled by
// `platform/`, so that nothing else depends on them.

#pragma once

#include <string>

namespace pollenhall::mesh
{

/// Header fields by what they hold.
struct header_names
{
    /// Id of one attempt of a caller; echoed in responses.
    std::string request_id;
    /// Time that the sender of a request still waits, in ms.
    std::string time_left_ms;
    /// Service on whose host a request began.
    std::string caller_service;
    /// Incarnation that alone may run a request.
    std::string expected_incarnation;
    /// Incarnation that answers.
    std::string incarnation;
    /// Mark of an upstream that made a response itself.
    std::string signature;
    /// Says that the upstream did not run the request.
    std::string not_run;
    /// Seconds, with fractions, after which a caller may come back.
    std::string retry_after;

    bool operator==(header_names const&) const = default;
};

} // namespace pollenhall::mesh
