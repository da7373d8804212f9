// Decides which calls run at the upstream beside the node, which wait and
// which are refused. Load pattern: a leaf service takes several calls for
// each request from outside, of which many are short and live 700 ms, and a
// few are long. Above its slots an upstream queues and slows down, so the
// queue is held here, where it is ordered by importance and answered early.

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

/// Number of a call at one gate.
using gate_call = strong_value<struct gate_call_tag, std::uint64_t>;

/// A call that asks for a slot.
struct gate_request
{
    gate_call number;
    call_rank rank{};
    mono_time arrived{};
    // Nothing that ends later is of use.
    mono_time deadline{};
    // Longest useful wait for a slot.
    milliseconds max_wait{0};
};

/// Why a call got no slot.
enum class gate_refusal
{
    /// The wait would be longer than is of use.
    overload,
    /// It waited for its longest useful wait.
    waited_out,
    /// A more important call took its place.
    displaced
};

std::string_view to_string(gate_refusal reason);

/// A waiting call that will not run.
struct gate_drop
{
    gate_call number;
    gate_refusal reason;
};

/// Settings of `gate_queue`.
struct gate_queue_options
{
    /// Share of the declared slots that are filled; upstreams slow down when
    /// nearly full.
    double slot_share = 0.95;
    /// Most calls that wait, as a multiple of the limit.
    double queue_share = 4;
    /// Weight of one call in the mean of service times.
    double service_time_weight = 0.02;
    /// Time in which the share of failed calls halves.
    milliseconds failure_half_life{700};
};

/// Slots of one upstream and the calls that wait for them. Not thread-safe.
class gate_queue
{
public:
    explicit gate_queue(gate_queue_options options = {});

    /// Sets the requests that the upstream runs at once.
    void set_slots(int slots);

    /// Takes a call in, or says why not. It starts when `take_startable`
    /// names it.
    std::optional<gate_refusal> offer(gate_request const& request,
                                      mono_time now);
    /// Removes and returns the calls that start now; each ends with
    /// `on_finished`.
    std::vector<gate_request> take_startable();
    /// Removes and returns the calls that will not run.
    std::vector<gate_drop> take_dropped(mono_time now);
    /// Removes a waiting call; false if it does not wait.
    bool cancel(gate_call number);
    /// A running call ended after `took`; empty if it was given up, which
    /// says nothing about the upstream. `failed` if the upstream did not run
    /// it to a good end.
    void on_finished(std::optional<microseconds> took, bool failed,
                     mono_time now);

    /// Time after which a call that is refused now is likely to find room.
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

    [[nodiscard]] double wait_ms(std::size_t ahead) const;
    void remove(waiting_set::iterator position);

    gate_queue_options options_;
    int limit_ = 1;
    // Calls at the upstream; may exceed limit_ after set_slots.
    int running_ = 0;
    double service_ms_ = 20;
    // Decaying counts of ended and of failed calls.
    double ended_ = 0;
    double failed_ = 0;
    mono_time decayed_{};
    waiting_set waiting_;
    // Same calls as waiting_, by number.
    std::map<gate_call, waiting_set::iterator> by_number_;
    std::vector<gate_drop> displaced_;
};

} // namespace pollenhall::mesh
