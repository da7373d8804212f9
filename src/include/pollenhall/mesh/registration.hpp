// What the node knows of the upstream on its own host, from the upstream's
// heartbeats. Heartbeats may be late, doubled, of a dead incarnation, or of
// another writer.

#pragma once

#include <pollenhall/ids.hpp>

#include <optional>
#include <string>
#include <variant>

namespace pollenhall::mesh
{

/// Name of one start of an upstream. A start may reuse the name of the last.
using incarnation_id = strong_value<struct incarnation_id_tag, std::string>;

/// What an upstream says of itself.
struct upstream_heartbeat
{
    incarnation_id incarnation;
    service_name service;
    std::string address;
    // Start of the upstream by its own clock; absent if it does not say.
    std::optional<wall_time> started{};
    // Grows with each heartbeat of one start.
    std::int64_t sequence = 0;
    // Requests that it runs at once.
    int slots = 0;
    bool draining = false;
    // How much longer it is slow after its start.
    milliseconds cold_left{0};
};

/// The upstream that a node serves.
struct registered_upstream
{
    upstream_heartbeat last;
    mono_time heard{};
    // It said that it leaves for good; nothing of it counts any more.
    bool left = false;

    [[nodiscard]] bool accepts_work() const { return !left && !last.draining; }
};

/// Why a heartbeat changed nothing.
enum class heartbeat_rejection
{
    /// Of another service or address than this host's.
    foreign,
    /// Of an earlier start than the one known.
    old_start,
    /// Older than the last one of the same start.
    old_sequence,
    /// Of a start that has left.
    has_left
};

std::string_view to_string(heartbeat_rejection reason);

/// Outcome of a heartbeat: whether the state changed, or why it is not used.
struct heartbeat_accepted
{
    bool changed = false;
};
using heartbeat_result = std::variant<heartbeat_accepted, heartbeat_rejection>;

/// Follows the upstream of one host. Not thread-safe.
class upstream_registration
{
public:
    upstream_registration(service_name service, std::string address);

    heartbeat_result on_heartbeat(upstream_heartbeat const& heartbeat,
                                  mono_time now);
    /// The upstream ends its registration. `started` is absent if it does not
    /// say. Returns whether that changed anything.
    bool on_leave(incarnation_id const& incarnation, mono_time now);
    /// A health check found this incarnation, before any heartbeat. Returns
    /// whether that changed anything.
    bool on_health_check(incarnation_id const& incarnation, int slots,
                         mono_time now);

    [[nodiscard]] std::optional<registered_upstream> const& current() const
    {
        return current_;
    }

private:
    service_name service_;
    std::string address_;
    std::optional<registered_upstream> current_;
};

} // namespace pollenhall::mesh
