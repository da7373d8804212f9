// Accepts calls from callers and from the upstream beside this node, and sends
// their attempts to the upstreams of a service or to the home of an idempotency
// key. Also runs the calls that peers send to this node.

#pragma once

#include "call_driver.hpp"
#include "home_service.hpp"
#include "local_runner.hpp"
#include "traffic_core.hpp"

#include <pollenhall/router.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pollenhall
{

/// A call as received from a caller.
struct caller_request
{
    kind_ref kind;
    std::string method;
    /// Path below the kind, with the query.
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::optional<trace_context> trace;
    std::optional<idempotency_key> key;
    /// Timeout that the caller set; empty if it set none.
    std::optional<milliseconds> timeout;
};

/// The answer for a caller.
struct caller_answer
{
    call_result result;
    /// HTTP status if the request is invalid, otherwise 0.
    int request_error_status = 0;
    /// Why the request is invalid.
    std::string request_error;
    std::string trace_id;
};

using answer_handler = std::function<void(caller_answer)>;

/// Entry point of calls on a node. Used only on the traffic thread.
class call_entry
{
public:
    explicit call_entry(traffic_core& core);
    ~call_entry();

    /// Serves a call. `number` identifies the call for `cancel` and must be
    /// unique. `handler` is called once.
    void serve(std::uint64_t number, caller_request request,
               answer_handler handler);
    /// Ends a call because its caller has disconnected or its parent call has
    /// ended.
    void cancel(std::uint64_t number);

    /// Runs a call that a peer sent, on this node's upstream or as the home of
    /// its key. Returns a canceller, which has no effect on a call that runs as
    /// the home.
    attempt_canceller serve_peer(forwarded_call call, call_handler handler);

    /// Returns the load of the local upstream. The admitted rank is raised to
    /// the thresholds of the services that the kind calls.
    [[nodiscard]] load_hint load_for(kind_ref const& kind);

    [[nodiscard]] local_runner& runner() { return runner_; }
    [[nodiscard]] home_service& home() { return home_; }
    /// Whether no call is in progress.
    [[nodiscard]] bool is_idle() const
    {
        return open_calls_.empty() && runner_.is_idle();
    }

private:
    struct open_call
    {
        std::shared_ptr<call_driver> driver;
        answer_handler handler;
        std::string trace_id;
        kind_ref kind;
        member_name owner;
        // Owner of the service that the request entered by; nested calls
        // inherit it.
        member_name member;
        mono_time deadline{};
        // Set for a nested call, which the upstream beside this node made.
        std::optional<hop_id> parent;
        // Retries lent from the parent's budget.
        retry_count lent{0};
        importance level = importance::normal;
    };
    struct service_state
    {
        router routes;
        retry_ratio ratio;
        std::uint64_t round_robin_counter = 0;
    };

    service_state& state_of(service_name const& service);
    std::optional<caller_answer>
    find_request_error(caller_request const& request,
                       node_view const& view) const;
    bool attach_to_parent(caller_request const& request, open_call& open,
                          forwarded_call& call, std::uint64_t number);
    void start(std::uint64_t number, forwarded_call call,
               kind_declaration const& kind);
    void finish(std::uint64_t number, call_result result);
    void record_end(open_call const& open, call_result const& result,
                    int retries);
    bool is_quarantined(forwarded_call const& call, node_view const& view);
    // Records that the connection to a peer was lost during a call. The peer
    // may have ended together with its upstream, and then nobody else knows the
    // calls that were running there.
    void on_call_lost(node_id const& node, boot_id boot, fingerprint content);
    attempt_canceller send_to_upstream(forwarded_call const& call,
                                       call_handler handler);
    attempt_canceller send_to_home(forwarded_call const& call,
                                   call_handler handler);
    std::optional<node_id> choose_node(forwarded_call const& call,
                                       service_view const& upstreams,
                                       service_state& state,
                                       route_failure& failure);
    attempt_canceller send_to_node(node_id const& node,
                                   forwarded_call const& call,
                                   call_handler handler);
    void post_result(call_handler handler, call_result result);

    traffic_core& core_;
    std::map<service_name, service_state> services_;
    retry_ratio home_ratio_;
    std::map<std::uint64_t, open_call> open_calls_;
    local_runner runner_;
    home_service home_;
};

} // namespace pollenhall
