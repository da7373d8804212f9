// Runs calls on the upstream beside this node: queues them, limits their
// concurrency, exchanges them with the upstream and records the results.

#pragma once

#include "traffic_core.hpp"

#include <pollenhall/dispatch_queue.hpp>
#include <pollenhall/io/elastic_pool.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace pollenhall
{

/// The latest announcement of the upstream.
struct announced_upstream
{
    service_name service;
    upstream_endpoint endpoint;
    /// Initial concurrency limit that the upstream suggests; 0 if it suggests
    /// none.
    int slots = 0;
    /// Changes when the upstream restarts.
    std::string incarnation;

    bool operator==(announced_upstream const&) const = default;
};

/// Runs calls on the local upstream. Used only on the traffic thread.
class local_runner
{
public:
    /// Cancels a nested call by its number. Called for each unfinished nested
    /// call of a call that has ended.
    using child_canceller = std::function<void(std::uint64_t)>;

    local_runner(traffic_core& core, child_canceller cancel_child);
    ~local_runner();

    /// Sets the upstream that calls run on. If it has restarted and no call is
    /// in progress, the queue and its limits are reset.
    void set_upstream(announced_upstream const& upstream);
    /// Sets whether new calls are accepted.
    void set_accepting(bool accepting);

    /// Runs a call; `handler` is called once, on the traffic thread. Returns
    /// the number to pass to `cancel`.
    call_number run(forwarded_call call, call_handler handler);
    /// Removes a queued call, or aborts a running one. A running call with an
    /// idempotency key is not aborted: it must not run twice, and its answer is
    /// kept for requests that repeat the key.
    void cancel(call_number number);

    /// Returns the load that is reported with answers.
    [[nodiscard]] load_hint load() const;
    /// Whether no call is queued or running.
    [[nodiscard]] bool is_idle() const { return calls_.empty(); }

private:
    struct local_call
    {
        forwarded_call call;
        call_handler handler;
        // Set while the call runs.
        std::optional<hop_id> hop;
        mono_time started{};
        std::shared_ptr<exchange_handle> exchange;
    };

    void make_queue(int slots);
    void process_queue();
    void start(call_number number);
    void finish(call_number number, exchange_result ended);
    void finish_refused(call_number number, refusal reason);
    void process_exchange_result(local_call const& ended,
                                 exchange_result const& result, mono_time now);
    /// `in_flight` holds the requests that were running, latest start first.
    void report_crash(std::vector<fingerprint> in_flight);
    // Reports a crash if connections broke shortly before the upstream started
    // again.
    void report_broken_calls();
    void count_run(local_call const& ended, exchange_result const& result,
                   mono_time now);
    void record_result(forwarded_call const& call, call_result const& result,
                       mono_time now);
    retry_count end_hop(local_call const& ended);
    void schedule_queue_check();
    [[nodiscard]] std::vector<http_header>
    extra_headers(local_call const& call) const;

    traffic_core& core_;
    child_canceller cancel_child_;
    announced_upstream upstream_;
    std::unique_ptr<dispatch_queue> queue_;
    std::shared_ptr<upstream_client> client_;
    elastic_pool pool_;
    asio::steady_timer queue_check_timer_;
    bool queue_check_scheduled_ = false;
    // A call whose connection to the upstream broke a short time ago, although
    // the upstream goes on accepting connections.
    struct broken_call
    {
        mono_time broken{};
        fingerprint content;
    };
    std::vector<broken_call> broken_calls_;
    std::uint64_t next_number_ = 1;
    // All calls from `run` until their handler is called.
    std::map<call_number, local_call> calls_;
};

} // namespace pollenhall
