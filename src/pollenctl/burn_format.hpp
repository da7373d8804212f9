// How numbers and times stand in reports for people.

#pragma once

#include <cstdint>
#include <string>

#include <operator_types.h>

namespace pollenhall
{

/// A share as a percentage, such as `99.9%`.
std::string format_share(double share);
/// A burn rate with one decimal.
std::string format_rate(double rate);
/// A time in UTC, such as `2026-12-04 10:15:00`; the argument is in seconds
/// since the Unix epoch.
std::string format_time(std::int64_t second);
/// Why requests did not end in time, most frequent first, such as
/// `shed 12, unknown 1`; `-` if all did.
std::string format_reasons(std::map<std::string, std::int64_t> const& ends);
/// The recovery of an episode, such as `2 s`.
std::string format_recovery(rpc::burn_episode const& episode);

} // namespace pollenhall
