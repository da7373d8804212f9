// State of the upstream on the node's own host, from the upstream's heartbeats.
// Heartbeats may be late or duplicated, and may come from an earlier
// incarnation or from another sender.

#pragma once

#include <pollenhall/ids.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

namespace pollenhall::mesh
{

/// Largest number of slots and longest warm-up that a document may state; what
/// is beyond them is an error of its writer.
inline constexpr int max_slots = 1'000'000;
inline constexpr milliseconds max_cold_time{3'600'000};

/// Identifies one start of an upstream. An upstream may reuse the identifier of
/// its previous start.
using incarnation_id = strong_value<struct incarnation_id_tag, std::string>;

/// Whether all characters are visible ASCII, which both a header field and a
/// JSON string can hold.
bool is_visible_ascii(std::string_view text);
/// Longest identifier of an incarnation that is accepted.
inline constexpr std::size_t max_incarnation_bytes = 256;
/// Checks an identifier from another process, which is later written to header
/// fields and to JSON. Returns `InvalidArgument` unless it is visible ASCII.
absl::StatusOr<incarnation_id> parse_incarnation_id(std::string_view text);

/// State that an upstream reports about itself.
struct upstream_heartbeat
{
    incarnation_id incarnation;
    service_name service;
    std::string address;
    // Start time of the upstream by its own clock; empty if not reported.
    std::optional<wall_time> started{};
    // Increases with each heartbeat of one start.
    std::int64_t sequence = 0;
    // Number of requests that it runs concurrently.
    int slots = 0;
    bool draining = false;
    // Remaining time for which it is slow after its start.
    milliseconds cold_remaining{0};
};

/// The upstream on the host of a node.
struct registered_upstream
{
    upstream_heartbeat last;
    // Time of the last heartbeat, health check or deregistration.
    mono_time last_contact{};
    // The upstream has deregistered; `last.started` is the time of that, and
    // heartbeats of starts until then are rejected.
    bool left = false;

    [[nodiscard]] bool accepts_work() const { return !left && !last.draining; }
};

/// The last state of an upstream that a node has acknowledged, as its host
/// entry keeps it for the next process of the node.
struct acknowledged_upstream
{
    incarnation_id incarnation;
    std::optional<wall_time> started{};
    // Sequence number of the last heartbeat before the entry was written.
    std::int64_t sequence = 0;
    bool draining = false;
    bool left = false;
};

/// Why a heartbeat was rejected.
enum class heartbeat_rejection
{
    /// For another service or address than those of this host.
    foreign,
    /// From an earlier start than the registered one, or from a later start at
    /// an earlier time of day. If such heartbeats go on, they are accepted.
    old_start,
    /// Not newer than the last heartbeat of the same start.
    old_sequence,
    /// From a start that has deregistered.
    has_left
};

std::string_view to_string(heartbeat_rejection reason);

/// An accepted heartbeat.
struct heartbeat_accepted
{
    // Whether the start, the slots or the draining state changed.
    bool changed = false;
};
/// An accepted heartbeat, or the reason for its rejection.
using heartbeat_result = std::variant<heartbeat_accepted, heartbeat_rejection>;

/// Tracks the upstream of one host. Not thread-safe.
class upstream_registration
{
public:
    upstream_registration(service_name service, std::string address);

    heartbeat_result on_heartbeat(upstream_heartbeat const& reported,
                                  mono_time now);
    /// Handles the deregistration of an upstream. Returns whether the state
    /// changed. `latest_start` is the time until which it may have started, and
    /// counts as its start time.
    bool on_leave(incarnation_id const& incarnation, wall_time latest_start,
                  mono_time now);
    /// Registers the incarnation that a health check has found, if there was no
    /// heartbeat before or the registered upstream has left. `started` is empty
    /// if it is not known. Returns whether the state changed.
    bool on_health_check(incarnation_id const& incarnation,
                         std::optional<wall_time> started, int slots,
                         mono_time now);

    /// Adds a state that an earlier process of this node acknowledged. Older
    /// heartbeats are rejected, so that a late one does not bring back an
    /// upstream that has announced its end. A registered upstream of the same
    /// start is marked as draining or left; one of an earlier start is dropped.
    /// Returns whether the registered upstream changed.
    bool set_acknowledged(acknowledged_upstream const& state);
    /// Registers an upstream that had left according to `state`, which was
    /// passed to `set_acknowledged`, unless one is registered or a later start
    /// is known. Returns whether the registered upstream changed.
    bool restore_departure(acknowledged_upstream const& state, mono_time now);

    /// The registered upstream; empty before the first heartbeat, health check
    /// or deregistration.
    [[nodiscard]] std::optional<registered_upstream> const& current() const
    {
        return current_;
    }

private:
    // Merges `state` into the acknowledged state of the same start. Of two
    // different starts, the later one is kept.
    void merge_acknowledged(acknowledged_upstream const& state);
    // Why `heartbeat` is older than the acknowledged state; empty if it is not.
    [[nodiscard]] std::optional<heartbeat_rejection>
    rejection_by_acknowledged(upstream_heartbeat const& heartbeat) const;
    // The same for the registered upstream.
    [[nodiscard]] std::optional<heartbeat_rejection>
    rejection_by_registered(upstream_heartbeat const& heartbeat) const;
    // Whether it is of a start that is earlier by its time of day than a known
    // one.
    [[nodiscard]] bool
    is_earlier_start(upstream_heartbeat const& heartbeat) const;
    // Handles a heartbeat of such a start. Returns whether that one is running.
    bool is_running_start(upstream_heartbeat const& heartbeat, mono_time now);
    // Whether such a start deregistered while another one was registered.
    [[nodiscard]] bool
    left_unregistered(incarnation_id const& incarnation,
                      std::optional<wall_time> started) const;

    service_name service_;
    std::string address_;
    std::optional<registered_upstream> current_;
    std::optional<acknowledged_upstream> acknowledged_;

    // An upstream that deregistered while another one was registered, and the
    // time until which it may have started.
    struct unregistered_departure
    {
        incarnation_id incarnation;
        wall_time latest_start;
    };
    std::deque<unregistered_departure> unregistered_departures_;
    // Time of the last deregistration of the registered upstream.
    std::optional<mono_time> last_departure_;

    // Heartbeats of a start that is earlier by its time of day, since the last
    // one of the registered start.
    struct earlier_start
    {
        upstream_heartbeat last;
        mono_time first_contact{};
    };
    std::optional<earlier_start> earlier_start_;
    // The start that was registered although its time of day is earlier than
    // that of a known one, and the time that counts as its start time instead.
    struct corrected_start
    {
        upstream_heartbeat reported;
        wall_time started;
    };
    std::optional<corrected_start> corrected_start_;
};

} // namespace pollenhall::mesh
