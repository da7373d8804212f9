// Compares heartbeats by start time and sequence number.

#include <pollenhall/mesh/registration.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace pollenhall::mesh
{
namespace
{

// A start that is earlier by its time of day is the running one if it reports
// for so long while the registered start has been silent for longer than the
// interval of heartbeats. A heartbeat that was delayed shows neither.
constexpr milliseconds min_report_time{400};
constexpr milliseconds min_silence{2'500};
// The same if the registered start has announced its departure. It may send no
// heartbeats any more, and late ones may arrive for seconds.
constexpr milliseconds min_report_time_after_departure{10'000};

// How long a departure may be reported again without being that of a later
// start. An upstream serves for longer after its departure.
constexpr milliseconds max_departure_repeats{2'000};
// Departures of upstreams that were not registered; the oldest one is dropped
// for a new one.
constexpr std::size_t max_unregistered_departures = 16;

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
upstream_registration::on_heartbeat(upstream_heartbeat const& reported,
                                    mono_time now)
{
    auto heartbeat = reported;
    if (heartbeat.service != service_ || heartbeat.address != address_)
        return heartbeat_rejection::foreign;
    if (corrected_start_ && is_same_start(reported, corrected_start_->reported))
        heartbeat.started = corrected_start_->started;
    if (left_unregistered(heartbeat.incarnation, heartbeat.started))
        return heartbeat_rejection::old_start;
    auto rejection = rejection_by_acknowledged(heartbeat);
    if (!rejection)
        rejection = rejection_by_registered(heartbeat);
    if (rejection && is_earlier_start(heartbeat))
    {
        if (!is_running_start(heartbeat, now))
            return *rejection;
        // Later than all known starts, so that these count as old, also for the
        // next process of the node.
        auto const latest =
            std::max(acknowledged_ ? acknowledged_->started : std::nullopt,
                     current_ ? current_->last.started : std::nullopt);
        heartbeat.started = latest.value() + milliseconds{1};
        corrected_start_ = corrected_start{.reported = reported,
                                           .started = *heartbeat.started};
        current_.reset();
    }
    else if (rejection)
        return *rejection;
    earlier_start_.reset();
    bool const same_start =
        current_ && is_same_start(heartbeat, current_->last);
    bool const changed = !same_start ||
                         current_->last.draining != heartbeat.draining ||
                         current_->last.slots != heartbeat.slots;
    current_ = registered_upstream{.last = heartbeat, .last_contact = now};
    return heartbeat_accepted{.changed = changed};
}

std::optional<heartbeat_rejection>
upstream_registration::rejection_by_registered(
    upstream_heartbeat const& heartbeat) const
{
    if (!current_)
        return std::nullopt;
    auto const& registered = current_->last;
    if (started_before(heartbeat, registered))
        return current_->left && heartbeat.incarnation == registered.incarnation
                   ? heartbeat_rejection::has_left
                   : heartbeat_rejection::old_start;
    bool const same_start = is_same_start(heartbeat, registered);
    if (same_start && current_->left)
        return heartbeat_rejection::has_left;
    if (same_start && heartbeat.sequence <= registered.sequence)
        return heartbeat_rejection::old_sequence;
    return std::nullopt;
}

bool upstream_registration::is_earlier_start(
    upstream_heartbeat const& heartbeat) const
{
    return (acknowledged_ && started_before(heartbeat, *acknowledged_)) ||
           (current_ && started_before(heartbeat, current_->last));
}

bool upstream_registration::is_running_start(
    upstream_heartbeat const& heartbeat, mono_time now)
{
    if (!earlier_start_ || !is_same_start(heartbeat, earlier_start_->last))
    {
        earlier_start_ = earlier_start{.last = heartbeat, .first_contact = now};
        return false;
    }
    if (heartbeat.sequence <= earlier_start_->last.sequence)
        return false;
    earlier_start_->last = heartbeat;
    bool const departed =
        (current_ && !current_->accepts_work()) ||
        (acknowledged_ && (acknowledged_->left || acknowledged_->draining));
    if (now - earlier_start_->first_contact <
        (departed ? min_report_time_after_departure : min_report_time))
        return false;
    return !current_ || now - current_->last_contact >= min_silence;
}

bool upstream_registration::on_leave(incarnation_id const& incarnation,
                                     wall_time latest_start, mono_time now)
{
    if (current_ && current_->last.incarnation != incarnation)
    {
        if (current_->accepts_work())
        {
            // It may be an earlier one, so the registered one stays.
            unregistered_departures_.push_back(
                {.incarnation = incarnation, .latest_start = latest_start});
            if (unregistered_departures_.size() > max_unregistered_departures)
                unregistered_departures_.pop_front();
            return false;
        }
        latest_start = std::max(latest_start,
                                current_->last.started.value_or(latest_start));
        current_.reset();
        last_departure_.reset();
    }
    // The same departure once more. Each change of the start time has to be
    // recorded before the departure is acknowledged.
    if (current_ && current_->left && last_departure_ &&
        now - *last_departure_ < max_departure_repeats)
        return false;
    last_departure_ = now;
    if (!current_)
        current_ = registered_upstream{.last = {.incarnation = incarnation,
                                                .service = service_,
                                                .address = address_}};
    current_->last_contact = now;
    bool const had_left = std::exchange(current_->left, true);
    auto& started = current_->last.started;
    auto const known_start = started;
    // The start that has deregistered may be a later one than the registered:
    // its heartbeats may have been lost or be late. Without a start time, each
    // start with the same identifier would count as this one.
    started = std::max(started, std::optional(latest_start));
    if (acknowledged_ && acknowledged_->incarnation == incarnation)
        started = std::max(started, acknowledged_->started);
    return !had_left || started != known_start;
}

bool upstream_registration::left_unregistered(
    incarnation_id const& incarnation, std::optional<wall_time> started) const
{
    return std::any_of(unregistered_departures_.begin(),
                       unregistered_departures_.end(),
                       [&](auto const& item)
                       {
                           return item.incarnation == incarnation &&
                                  (!started || *started <= item.latest_start);
                       });
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
    // The state was acknowledged before, so the time of day has gone back.
    if (current_ && current_->left &&
        current_->last.incarnation == state.incarnation)
        current_->last.started =
            std::max(current_->last.started, state.started);
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
        // Published with its own number, it would let heartbeats from before it
        // drained count for the next process.
        current_->last.sequence = acknowledged_->sequence;
        return !std::exchange(current_->last.draining, true);
    default:
        current_.reset();
        return true;
    }
}

bool upstream_registration::restore_departure(
    acknowledged_upstream const& state, mono_time now)
{
    if (!state.left || current_ || !acknowledged_ ||
        !is_same_start(*acknowledged_, state))
        return false;
    current_ =
        registered_upstream{.last = {.incarnation = state.incarnation,
                                     .service = service_,
                                     .address = address_,
                                     .started = acknowledged_->started,
                                     .sequence = acknowledged_->sequence},
                            .last_contact = now,
                            .left = true};
    return true;
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
    if (left_unregistered(incarnation, std::nullopt))
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
