// Runs calls on the upstream beside this node: queue, limits, the exchange
// itself, and what follows from its end.

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

/// The upstream as it announced itself.
struct announced_upstream
{
    service_name service;
    upstream_endpoint endpoint;
    /// Hint where the search for its concurrency starts; 0 if not given.
    int slots = 0;
    /// Changes when the upstream restarts.
    std::string incarnation;

    bool operator==(announced_upstream const&) const = default;
};

/// The runner. Belongs to the traffic thread.
class local_runner
{
public:
    /// Cancels the calls that an upstream made for a call that ended.
    using child_canceller = std::function<void(std::uint64_t)>;

    local_runner(traffic_core& core, child_canceller cancel_child);
    ~local_runner();

    /// Takes in an announcement.
    void set_upstream(announced_upstream const& upstream);
    /// Lets new calls in or refuses them.
    void set_accepting(bool accepting);

    /// Runs a call; `handler` is called once, on the traffic thread. Returns
    /// the number to cancel it by.
    call_number run(forwarded_call call, call_handler handler);
    /// Drops a waiting call, and breaks off a running one unless it must not
    /// run twice: its answer is kept for a re-sent key.
    void cancel(call_number number);

    /// Load, for the answers to callers of `kind`.
    [[nodiscard]] load_hint load() const;
    /// Whether no call waits or runs.
    [[nodiscard]] bool is_idle() const { return calls_.empty(); }

private:
    struct local_call
    {
        forwarded_call call;
        call_handler handler;
        // Set while it runs.
        std::optional<hop_id> hop;
        mono_time started{};
        std::shared_ptr<exchange_handle> exchange;
    };

    void make_queue(int slots);
    void advance();
    void start(call_number number);
    void finish(call_number number, exchange_result ended);
    void finish_refused(call_number number, refusal reason);
    void note_end(local_call const& ended, exchange_result const& result,
                  mono_time now);
    void note_crash(local_call const& ended);
    void count_run(local_call const& ended, exchange_result const& result,
                   mono_time now);
    void note_place(forwarded_call const& call, call_result const& result,
                    mono_time now);
    retry_count end_hop(local_call const& ended);
    void schedule_check();
    [[nodiscard]] std::vector<http_header>
    extra_headers(local_call const& call) const;

    traffic_core& core_;
    child_canceller cancel_child_;
    announced_upstream upstream_;
    std::unique_ptr<dispatch_queue> queue_;
    std::shared_ptr<upstream_client> client_;
    elastic_pool pool_;
    asio::steady_timer check_timer_;
    bool check_scheduled_ = false;
    std::uint64_t next_number_ = 1;
    // Every call from `run` until its handler was called.
    std::map<call_number, local_call> calls_;
};

} // namespace pollenhall
