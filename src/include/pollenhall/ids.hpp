// Strong types for identifiers and units, so that the compiler rejects a call
// that mixes them up.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pollenhall
{

/// A value of type `Rep` without implicit conversions. `Tag` makes the types
/// distinct.
template <class Tag, class Rep>
class strong_value
{
public:
    using rep = Rep;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Rep value) : value_(std::move(value)) {}

    /// Returns the underlying value, for printing and encoding.
    [[nodiscard]] constexpr Rep const& value() const { return value_; }

    auto operator<=>(strong_value const&) const = default;

private:
    Rep value_{};
};

/// Name of a node, unique in the platform and unchanged by restarts.
using node_id = strong_value<struct node_id_tag, std::string>;
/// Name of an organisation that owns services.
using member_name = strong_value<struct member_name_tag, std::string>;
/// Name of a service, unique in the platform.
using service_name = strong_value<struct service_name_tag, std::string>;
/// Name of a kind of request, unique within its service.
using kind_name = strong_value<struct kind_name_tag, std::string>;
/// Name of an availability zone.
using zone_name = strong_value<struct zone_name_tag, std::string>;
/// Start time of a process in ms since the Unix epoch; distinguishes the
/// processes of a node that restarted.
using boot_id = strong_value<struct boot_id_tag, std::int64_t>;
/// Version of a document space, such as a member's declarations; 0 for none.
using generation = strong_value<struct generation_tag, std::int64_t>;
/// Version of a service's roster; 0 for none.
using roster_epoch = strong_value<struct roster_epoch_tag, std::int64_t>;
/// Hash of a request's content.
using fingerprint = strong_value<struct fingerprint_tag, std::uint64_t>;
/// Number of retries of one request.
using retry_count = strong_value<struct retry_count_tag, std::int32_t>;

/// Monotonic clock type. It has no `now()`: callers pass the current time to
/// the decision library.
struct mono_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true;
};

/// Wall clock type with the Unix epoch. It has no `now()` either.
struct wall_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;
};

using mono_time = mono_clock::time_point;
using wall_time = wall_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace pollenhall

/// Hashes the underlying value.
template <class Tag, class Rep>
struct std::hash<pollenhall::strong_value<Tag, Rep>>
{
    std::size_t
    operator()(pollenhall::strong_value<Tag, Rep> const& item) const noexcept
    {
        return std::hash<Rep>{}(item.value());
    }
};
