// Queue of the calls that wait for one upstream. Decides which call starts
// next, which is refused, and why. Holds no bodies, only what the decision
// needs.

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

/// Number of a call on this node.
using call_number = strong_value<struct call_number_tag, std::uint64_t>;

/// Why a call was refused without running.
enum class refusal
{
    /// Its rank is below what the upstream can serve now.
    shed,
    /// It waited as long as a call may.
    queue_timeout,
    /// It cannot complete before its deadline.
    deadline,
    /// The upstream takes no new work.
    draining,
    /// The caller gave up.
    cancelled,
    /// It crashed upstreams before.
    quarantined,
    /// No upstream is known for the service.
    no_upstream,
    /// Retries are used up.
    retries_exhausted,
    /// The key's home did not answer; it may be asked again.
    home_unreachable,
    /// The key is not acceptable.
    key_refused,
    /// The node is stopping.
    stopping,
    /// The upstream refused it.
    upstream_refused,
    /// The key's home is gone for good and cannot have run it.
    home_gone,
    /// The key's home does not take the key yet; it may be asked again.
    home_not_ready
};

/// The name used in headers, logs and reports, such as `queue_timeout`.
std::string_view to_string(refusal reason);
/// The reason of that name; empty if there is none.
std::optional<refusal> parse_refusal(std::string_view name);

/// A call that waits.
struct queued_call
{
    call_number number;
    request_rank rank;
    member_name member;
    mono_time arrived;
    mono_time deadline;
};

/// Share of its time from arrival to deadline that a call has waited.
double wait_share(queued_call const& call, mono_time now);

/// A call that left the queue without running.
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
    /// Longest wait, as a share of a call's time from arrival to deadline.
    double max_wait_share = 0.5;
    /// Longest wait. What waits when pressure ends delays the return to
    /// normal, so a long deadline does not make a long queue.
    milliseconds max_wait{1'000};
    /// Most calls that wait; the lowest rank makes room for a higher one.
    std::size_t max_queued = 1'024;
    /// Share of the limit that each class may fill, from the lowest class.
    std::array<double, importance_count> class_share{0.95, 0.97, 1.0, 1.0};
};

/// Queue and limits of one upstream. Not thread-safe.
class dispatch_queue
{
public:
    explicit dispatch_queue(dispatch_options options = {});

    /// Takes a call in or refuses it at once. A call that is taken in starts
    /// when `take_startable` names it.
    std::optional<refusal> offer(queued_call const& call, mono_time now);

    /// Removes and returns the calls that may start now. The caller starts
    /// each and later reports `on_finished` for it.
    std::vector<queued_call> take_startable(mono_time now);
    /// Removes and returns the calls that are not to run any more.
    std::vector<dropped_call> take_dropped(mono_time now);

    /// Notes the end of a running call. `latency_counts` is false for calls
    /// that failed, whose time says nothing about the upstream's speed.
    void on_finished(call_number number, mono_time now, bool latency_counts);
    /// Notes that the upstream shed a running call.
    void on_upstream_shed(mono_time now) { limit_.on_shed(now); }
    /// Removes a waiting call; false if it does not wait.
    bool cancel(call_number number);
    /// Lets new calls in, or refuses them as `draining`.
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
    /// Lowest rank that is admitted now.
    [[nodiscard]] request_rank admitted_rank() const
    {
        return admission_.threshold();
    }
    /// Typical time that the upstream takes for a call; 0 if unknown.
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
    // Highest rank first, then in order of arrival.
    struct start_order
    {
        bool operator()(queued_call const& left,
                        queued_call const& right) const;
    };
    using waiting_set = std::set<queued_call, start_order>;

    [[nodiscard]] bool may_start(importance level) const;
    [[nodiscard]] std::optional<waiting_set::const_iterator>
    next_to_start() const;
    [[nodiscard]] int running_of(member_name const& member) const;
    bool make_room(request_rank rank);
    void remove(waiting_set::const_iterator position);

    dispatch_options options_;
    admission_controller admission_;
    concurrency_limit limit_;
    bool accepting_ = true;
    double service_time_us_ = 0;
    waiting_set waiting_;
    // Same calls as waiting_, by number.
    std::map<call_number, waiting_set::const_iterator> by_number_;
    std::map<call_number, running_call> running_;
    std::map<member_name, int> running_by_member_;
    // Counts of waiting_ by member, without zeros.
    std::map<member_name, int> waiting_by_member_;
    std::vector<dropped_call> evicted_;
};

} // namespace pollenhall
