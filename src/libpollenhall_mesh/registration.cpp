// Compares heartbeats by start time and sequence number.

#include <pollenhall/mesh/registration.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pollenhall::mesh
{
namespace
{

// Whether two states are of the same start of an upstream. An identifier may be
// reused, so the start times decide if both are known.
template <class Left, class Right>
bool is_same_start(Left const& left, Right const& right)
{
    return left.incarnation == right.incarnation &&
           (!left.started || !right.started || *left.started == *right.started);
}

// Whether `left` is known to have started before `right`.
template <class Left, class Right>
bool started_before(Left const& left, Right const& right)
{
    return left.started && right.started && *left.started < *right.started;
}

} // namespace

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 0x7f; });
}

absl::StatusOr<incarnation_id> parse_incarnation_id(std::string_view text)
{
    if (text.empty() || text.size() > max_incarnation_bytes ||
        !is_visible_ascii(text))
        return absl::InvalidArgumentError(
            "incarnation is not 1 to " + std::to_string(max_incarnation_bytes) +
            " characters of visible ASCII");
    return incarnation_id(std::string(text));
}

std::string_view to_string(heartbeat_rejection reason)
{
    constexpr std::array<std::string_view, 4> names{"foreign", "old_start",
                                                    "old_sequence", "has_left"};
    return names.at(static_cast<std::size_t>(reason));
}

upstream_registration::upstream_registration(service_name service,
                                             std::string address)
    : service_(std::move(service)), address_(std::move(address))
{
}

heartbeat_result
upstream_registration::on_heartbeat(upstream_heartbeat const& heartbeat,
                                    mono_time now)
{
    if (heartbeat.service != service_ || heartbeat.address != address_)
        return heartbeat_rejection::foreign;
    if (auto const rejection = rejection_by_acknowledged(heartbeat))
        return *rejection;
    if (current_)
    {
        auto const& registered = current_->last;
        if (started_before(heartbeat, registered))
            return heartbeat_rejection::old_start;
        bool const same_start = is_same_start(heartbeat, registered);
        if (same_start && current_->left)
            return heartbeat_rejection::has_left;
        if (same_start && heartbeat.sequence <= registered.sequence)
            return heartbeat_rejection::old_sequence;
        if (same_start)
        {
            bool const changed = registered.draining != heartbeat.draining ||
                                 registered.slots != heartbeat.slots;
            current_->last = heartbeat;
            current_->last_contact = now;
            return heartbeat_accepted{.changed = changed};
        }
    }
    current_ = registered_upstream{.last = heartbeat, .last_contact = now};
    return heartbeat_accepted{.changed = true};
}

bool upstream_registration::on_leave(incarnation_id const& incarnation,
                                     mono_time now)
{
    if (current_ && current_->last.incarnation != incarnation)
        return false;
    if (!current_)
        current_ = registered_upstream{.last = {.incarnation = incarnation,
                                                .service = service_,
                                                .address = address_}};
    // Without a start time, a later start with the same identifier would count
    // as this one.
    if (!current_->last.started && acknowledged_ &&
        acknowledged_->incarnation == incarnation)
        current_->last.started = acknowledged_->started;
    current_->last_contact = now;
    bool const changed = !current_->left;
    current_->left = true;
    return changed;
}

std::optional<heartbeat_rejection>
upstream_registration::rejection_by_acknowledged(
    upstream_heartbeat const& heartbeat) const
{
    if (!acknowledged_)
        return std::nullopt;
    if (started_before(heartbeat, *acknowledged_))
        return heartbeat_rejection::old_start;
    bool const same_start = is_same_start(heartbeat, *acknowledged_);
    if (same_start && acknowledged_->left)
        return heartbeat_rejection::has_left;
    if (same_start && acknowledged_->draining &&
        heartbeat.sequence <= acknowledged_->sequence)
        return heartbeat_rejection::old_sequence;
    return std::nullopt;
}

void upstream_registration::merge_acknowledged(
    acknowledged_upstream const& state)
{
    if (!acknowledged_)
    {
        acknowledged_ = state;
        return;
    }
    if (!is_same_start(*acknowledged_, state))
    {
        if (!started_before(state, *acknowledged_))
            acknowledged_ = state;
        return;
    }
    if (!acknowledged_->started)
        acknowledged_->started = state.started;
    acknowledged_->sequence = std::max(acknowledged_->sequence, state.sequence);
    acknowledged_->draining = acknowledged_->draining || state.draining;
    acknowledged_->left = acknowledged_->left || state.left;
}

bool upstream_registration::set_acknowledged(acknowledged_upstream const& state)
{
    merge_acknowledged(state);
    auto const rejection =
        current_ ? rejection_by_acknowledged(current_->last) : std::nullopt;
    if (!rejection || current_->left)
        return false;
    switch (*rejection)
    {
    case heartbeat_rejection::has_left:
        current_->left = true;
        return true;
    case heartbeat_rejection::old_sequence:
        return !std::exchange(current_->last.draining, true);
    default:
        current_.reset();
        return true;
    }
}

bool upstream_registration::on_health_check(incarnation_id const& incarnation,
                                            std::optional<wall_time> started,
                                            int slots, mono_time now)
{
    if (current_ &&
        (!current_->left || current_->last.incarnation == incarnation))
        return false;
    if (acknowledged_ && acknowledged_->incarnation == incarnation &&
        (acknowledged_->left || acknowledged_->draining))
        return false;
    current_ = registered_upstream{.last = {.incarnation = incarnation,
                                            .service = service_,
                                            .address = address_,
                                            .started = started,
                                            .slots = slots},
                                   .last_contact = now};
    // Lower than the sequence number of any heartbeat.
    current_->last.sequence = -1;
    return true;
}

} // namespace pollenhall::mesh
