// Decides which calls run at the upstream on the node's host, which wait, and
// which are rejected. A leaf service gets several calls for each external
// request; most of them are short and have a deadline of 700 ms, a few are
// long. An upstream with more calls than slots queues them itself and slows
// down. Queueing them here instead allows ordering by rank and early rejection.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/mesh/call_rank.hpp>
#include <pollenhall/mesh/upstream_load.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenhall::mesh
{

/// Identifies a call within one gate.
using gate_call_id = strong_value<struct gate_call_id_tag, std::uint64_t>;

/// A call that requests a slot.
struct gate_request
{
    gate_call_id number;
    call_rank rank{};
    mono_time arrived{};
    // A result after this time is useless.
    mono_time deadline{};
    // Longest wait for a slot after which the call is still worth running.
    milliseconds max_wait{0};
};

/// Why a call got no slot.
enum class gate_rejection
{
    /// The expected wait exceeds `max_wait` or the deadline, or the queue is
    /// full.
    overload,
    /// The call waited until `max_wait` or its deadline.
    waited_out,
    /// The queue was full and a call of a better rank took its place.
    displaced
};

std::string_view to_string(gate_rejection reason);

/// A waiting call that was dropped from the queue.
struct gate_dropped_call
{
    gate_call_id number;
    gate_rejection reason;
};

/// Settings of `gate_queue`.
struct gate_queue_options
{
    /// Fraction of the declared slots that are used; upstreams slow down when
    /// nearly all slots are busy.
    double usable_slot_fraction = 0.95;
    /// Maximum number of waiting calls, as a multiple of the running limit.
    double max_queue_ratio = 4;
    /// Weight of one call in the moving average of service times.
    double service_time_weight = 0.02;
    /// Time after which the weight of an ended call has halved in the fraction
    /// of failed calls.
    milliseconds failure_half_life{700};
};

/// Assigns the slots of one upstream to calls and queues the calls that wait
/// for a slot. Not thread-safe.
class gate_queue
{
public:
    explicit gate_queue(gate_queue_options options = {});

    /// Sets the number of requests that the upstream runs concurrently.
    void set_slots(int slots);

    /// Queues a call, or returns why it is rejected. A queued call starts when
    /// `take_startable` returns it.
    std::optional<gate_rejection> offer(gate_request const& request,
                                        mono_time now);
    /// Removes and returns the calls that start now. Each of them must be
    /// followed by a call of `on_finished`.
    std::vector<gate_request> take_startable();
    /// Removes and returns the calls that were displaced or waited too long.
    std::vector<gate_dropped_call> take_dropped(mono_time now);
    /// Removes a waiting call. Returns false if the call is not waiting.
    bool cancel(gate_call_id number);
    /// Records that a running call ended after `run_time`. `run_time` is empty
    /// if the call was abandoned; it then has no effect on the measured load.
    /// `failed` tells whether the upstream failed to complete the call.
    void on_finished(std::optional<microseconds> run_time, bool failed,
                     mono_time now);

    /// Estimated wait for a slot at the end of the queue; the time after which
    /// a call that is rejected now is likely to be accepted.
    [[nodiscard]] milliseconds expected_wait() const;
    [[nodiscard]] upstream_load load(mono_time now) const;
    [[nodiscard]] int running() const { return running_; }
    [[nodiscard]] int queued() const
    {
        return static_cast<int>(waiting_.size());
    }

private:
    struct start_order
    {
        bool operator()(gate_request const& left,
                        gate_request const& right) const;
    };
    using waiting_set = std::set<gate_request, start_order>;

    // Estimated wait behind `calls_ahead` waiting calls.
    [[nodiscard]] double expected_wait_ms(std::size_t calls_ahead) const;
    void remove(waiting_set::iterator position);

    gate_queue_options options_;
    // Maximum number of running calls.
    int limit_ = 1;
    // Calls running at the upstream; may exceed limit_ after set_slots.
    int running_ = 0;
    // Moving average over successful calls.
    double service_ms_ = 20;
    // Counts of ended and of failed calls, decayed up to last_decay_.
    double ended_calls_ = 0;
    double failed_calls_ = 0;
    mono_time last_decay_{};
    waiting_set waiting_;
    // The calls of waiting_ by number.
    std::map<gate_call_id, waiting_set::iterator> by_number_;
    std::vector<gate_dropped_call> displaced_;
};

} // namespace pollenhall::mesh
