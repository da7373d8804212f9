// Takes calls from callers outside and from the upstream beside this node,
// and spreads tries over the upstreams of a service.

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

/// A call as a caller made it.
struct caller_request
{
    kind_ref kind;
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::optional<trace_context> trace;
    std::optional<idempotency_key> key;
    /// The caller's own limit, if it gave one.
    std::optional<milliseconds> timeout;
};

/// The answer for a caller.
struct caller_answer
{
    call_result result;
    /// Set if the request itself is at fault: HTTP status and reason.
    int fault_status = 0;
    std::string fault;
    std::string trace_id;
};

using answer_handler = std::function<void(caller_answer)>;

/// The entry. Belongs to the traffic thread.
class call_entry
{
public:
    explicit call_entry(traffic_core& core);
    ~call_entry();

    /// Serves a call under a number of the caller's choice; the handler is
    /// called once.
    void serve(std::uint64_t number, caller_request request,
               answer_handler handler);
    /// Ends a call because its caller has gone or its parent has ended.
    void cancel(std::uint64_t number);

    /// Runs a call that a peer sent, on this node's upstream or as the home
    /// of its key. Returns a canceller.
    try_canceller serve_peer(forwarded_call call, call_handler handler);

    /// Load with the thresholds of what the kind calls in turn.
    [[nodiscard]] load_hint load_for(kind_ref const& kind);

    [[nodiscard]] local_runner& runner() { return runner_; }
    [[nodiscard]] home_service& home() { return home_; }
    /// Whether no call is in progress.
    [[nodiscard]] bool is_idle() const
    {
        return open_.empty() && runner_.is_idle();
    }

private:
    struct open_call
    {
        std::shared_ptr<call_driver> driver;
        answer_handler handler;
        std::string trace_id;
        kind_ref kind;
        member_name owner;
        // Owner of the whole request at its entry.
        member_name member;
        mono_time deadline{};
        // Set for a call made by the upstream beside this node.
        std::optional<hop_id> parent;
        retry_count lent{0};
        importance level = importance::normal;
    };
    struct service_state
    {
        router routes;
        retry_ratio ratio;
        std::uint64_t next_in_turn = 0;
    };

    service_state& state_of(service_name const& service);
    std::optional<caller_answer> find_fault(caller_request const& request,
                                            node_view const& view) const;
    bool adopt_parent(caller_request const& request, open_call& open,
                      forwarded_call& call, std::uint64_t number);
    void start(std::uint64_t number, forwarded_call call,
               kind_declaration const& kind);
    void finish(std::uint64_t number, call_result result);
    void count_end_of(open_call const& open, call_result const& result,
                      int retries);
    bool is_quarantined(forwarded_call const& call, node_view const& view);
    try_canceller spread(forwarded_call const& call, call_handler handler);
    try_canceller ask_home(forwarded_call const& call, call_handler handler);
    std::optional<node_id> choose(forwarded_call const& call,
                                  service_view const& upstreams,
                                  service_state& state, route_failure& failure);
    try_canceller send_to(node_id const& node, forwarded_call const& call,
                          call_handler handler);
    void post_result(call_handler handler, call_result result);

    traffic_core& core_;
    std::map<service_name, service_state> services_;
    retry_ratio home_ratio_;
    std::map<std::uint64_t, open_call> open_;
    local_runner runner_;
    home_service home_;
};

} // namespace pollenhall
