// Priority queue of the calls that wait for one upstream. Decides which call
// starts next, which call is refused, and for what reason. Stores only the
// metadata that these decisions need, not the request bodies.

#pragma once

#include <pollenhall/admission.hpp>
#include <pollenhall/concurrency_limit.hpp>
#include <pollenhall/declarations.hpp>
#include <pollenhall/request_rank.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenhall
{

/// Identifies a call; unique on this node.
using call_number = strong_value<struct call_number_tag, std::uint64_t>;

/// Why a call was refused without running.
enum class refusal
{
    /// Its rank is below the lowest rank that the upstream can serve now.
    shed,
    /// It waited in the queue for the longest time allowed.
    queue_timeout,
    /// It cannot complete before its deadline.
    deadline,
    /// The upstream is draining and accepts no new calls.
    draining,
    /// The caller cancelled it.
    cancelled,
    /// Its fingerprint is suspected of crashing upstreams.
    quarantined,
    /// No upstream is known for the service.
    no_upstream,
    /// The retry budget is exhausted.
    retries_exhausted,
    /// The home of the idempotency key did not answer; it may be asked again.
    home_unreachable,
    /// The idempotency key is invalid or cannot be accepted now.
    key_refused,
    /// The node is stopping.
    stopping,
    /// The upstream itself refused it.
    upstream_refused,
    /// The home of the key is permanently gone and did not run the call.
    home_gone,
    /// The home of the key does not accept it yet; it may be asked again.
    home_not_ready
};

/// Returns the name used in headers, logs and reports, such as
/// `queue_timeout`.
std::string_view to_string(refusal reason);
/// Returns the reason with that name, or an empty value if there is none.
std::optional<refusal> parse_refusal(std::string_view name);

/// A waiting call.
struct queued_call
{
    call_number number;
    request_rank rank;
    member_name member;
    mono_time arrived;
    mono_time deadline;
};

/// Returns the time that a call has waited as a fraction of the time between
/// its arrival and its deadline; above 1 once the deadline has passed.
double wait_share(queued_call const& call, mono_time now);

/// A call that was removed from the queue without running.
struct dropped_call
{
    call_number number;
    refusal reason;
};

/// Settings of `dispatch_queue`.
struct dispatch_options
{
    concurrency_options concurrency{};
    admission_options admission{};
    /// Longest wait, as a fraction of the time from arrival to deadline.
    double max_wait_share = 0.5;
    /// Longest wait. It bounds the backlog of calls with long deadlines, which
    /// would otherwise delay the recovery from an overload.
    milliseconds max_wait{1'000};
    /// Limit on waiting calls. When it is reached, a new call evicts the one
    /// of the lowest rank, if that rank is below its own.
    std::size_t max_queued = 1'024;
    /// Fraction of the concurrency limit at which calls of each importance
    /// class stop starting, from the lowest class up.
    std::array<double, importance_count> class_share{0.95, 0.97, 1.0, 1.0};
};

/// Queue, admission threshold and concurrency limit of one upstream. Not
/// thread-safe.
class dispatch_queue
{
public:
    explicit dispatch_queue(dispatch_options options = {});

    /// Enqueues a call and returns an empty value, or returns the reason why
    /// the call is refused. `take_startable` or `take_dropped` returns each
    /// enqueued call later, unless it is cancelled.
    std::optional<refusal> offer(queued_call const& call, mono_time now);

    /// Removes and returns the calls that may start now. The caller must start
    /// each of them and report its end with `on_finished`.
    std::vector<queued_call> take_startable(mono_time now);
    /// Removes and returns the calls that were evicted or whose deadline or
    /// longest wait has passed.
    std::vector<dropped_call> take_dropped(mono_time now);

    /// Records the end of a running call. `latency_counts` is false for failed
    /// calls, whose latency is not a measure of the upstream's speed.
    void on_finished(call_number number, mono_time now, bool latency_counts);
    /// Records that the upstream shed a call that was sent to it.
    void on_upstream_shed(mono_time now) { limit_.on_shed(now); }
    /// Removes a waiting call; returns false if it is not in the queue.
    bool cancel(call_number number);
    /// Sets whether new calls are accepted; if not, `offer` refuses them as
    /// `draining`.
    void set_accepting(bool accepting) { accepting_ = accepting; }

    [[nodiscard]] bool accepting() const { return accepting_; }
    [[nodiscard]] int running() const
    {
        return static_cast<int>(running_.size());
    }
    [[nodiscard]] int queued() const
    {
        return static_cast<int>(waiting_.size());
    }
    [[nodiscard]] int limit() const { return limit_.current(); }
    /// Returns the lowest rank that is admitted now.
    [[nodiscard]] request_rank admitted_rank() const
    {
        return admission_.threshold();
    }
    /// Returns the moving average of the upstream's service time; 0 until a
    /// call has completed.
    [[nodiscard]] microseconds service_time() const
    {
        return microseconds(static_cast<std::int64_t>(service_time_us_));
    }

private:
    struct running_call
    {
        member_name member;
        mono_time started;
    };
    // Orders by descending rank, then by arrival.
    struct start_order
    {
        bool operator()(queued_call const& left,
                        queued_call const& right) const;
    };
    using waiting_set = std::set<queued_call, start_order>;

    [[nodiscard]] bool may_start(importance level) const;
    [[nodiscard]] std::optional<waiting_set::const_iterator>
    next_to_start() const;
    [[nodiscard]] int running_count(member_name const& member) const;
    bool make_room(request_rank rank);
    void remove(waiting_set::const_iterator position);

    dispatch_options options_;
    admission_controller admission_;
    concurrency_limit limit_;
    bool accepting_ = true;
    double service_time_us_ = 0;
    waiting_set waiting_;
    // Indexes waiting_ by call number.
    std::map<call_number, waiting_set::const_iterator> by_number_;
    std::map<call_number, running_call> running_;
    std::map<member_name, int> running_by_member_;
    // Number of calls in waiting_ by member; never holds a zero.
    std::map<member_name, int> waiting_by_member_;
    std::vector<dropped_call> evicted_;
};

} // namespace pollenhall
