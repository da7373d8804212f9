// Formats numbers and times for the text and HTML reports.

#pragma once

#include <cstdint>
#include <string>

#include <operator_types.h>

namespace pollenhall
{

/// Formats a share as a percentage, such as `99.9%`.
std::string format_share(double share);
/// Formats a burn rate with one decimal.
std::string format_rate(double rate);
/// Formats a time in UTC, such as `2026-12-04 10:15:00`. `second` is in seconds
/// since the Unix epoch.
std::string format_time(std::int64_t second);
/// Lists the outcomes of requests that did not complete in time, most frequent
/// first, such as `shed 12, unknown 1`; `-` if there are none.
std::string format_reasons(std::map<std::string, std::int64_t> const& ends);
/// Formats the recovery time of an episode, such as `2 s`.
std::string format_recovery(rpc::burn_episode const& episode);

} // namespace pollenhall
