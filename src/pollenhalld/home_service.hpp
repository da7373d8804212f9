// The home of idempotency keys on this node: runs each key at most once, keeps
// the results in a ledger, and takes part in the change of roster epochs.

#pragma once

#include "call_driver.hpp"
#include "traffic_core.hpp"

#include <pollenhall/home_roster.hpp>
#include <pollenhall/key_ledger.hpp>
#include <pollenhall/process_ends.hpp>
#include <pollenhall/roster_proposer.hpp>

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pollenhall
{

/// Whether the home of a key can be asked, and whether the key can have run.
enum class home_presence
{
    /// No epoch known to this node covers the key.
    not_known,
    /// The home is not known to have terminated.
    present,
    /// The home has terminated; the key may have run there.
    gone,
    /// The key has not run and never will.
    never_ran
};

/// Result of looking up the home of a key.
struct home_lookup
{
    home_presence presence = home_presence::not_known;
    /// Node of the home if `presence` is `present`; else empty.
    node_id home;
};

/// Runs keys that have their home on this node. Used on the traffic thread
/// only.
class home_service
{
public:
    /// `send_attempt` sends an attempt to an upstream of the call's service.
    /// `core` and `ratio` must outlive the object.
    home_service(traffic_core& core, retry_ratio& ratio,
                 attempt_sender send_attempt);

    /// Updates the rosters and the terminated members from the current view,
    /// requests missing seals, and expires keys. Call it
    /// periodically and when the view has changed.
    void refresh();
    /// Records that an endpoint has refused a connection.
    void on_refused(peer_endpoint const& endpoint);

    /// Looks up the home of a key of a service.
    [[nodiscard]] home_lookup find_home(service_name const& service,
                                        idempotency_key const& key) const;
    /// Runs a call whose key has its home on this node, or answers it from the
    /// ledger. Rejects the call if this node is not the home. The handler is
    /// called once.
    void run(forwarded_call call, call_handler handler);

    /// Answers a request by a peer or this node to seal the current epoch.
    wire::seal_answer answer_seal_request(wire::seal_request const& request);
    /// Records the answer to a seal request.
    void on_seal_answer(wire::seal_answer const& answer);

    /// Returns the state of the newest epoch of each service.
    [[nodiscard]] std::vector<roster_status> roster_statuses() const;

private:
    using ledger = key_ledger<call_result>;

    roster_tracker& find_or_add_tracker(service_name const& service);
    void update_terminated_members(roster_tracker& tracker,
                                   node_view const& view);
    void request_seals(roster_tracker& tracker, node_view const& view);
    void start(forwarded_call call, call_handler handler);
    void on_end(idempotency_key const& key, call_result const& result);
    [[nodiscard]] std::optional<wall_time>
    termination_time(roster_member const& process, node_view const& view) const;
    // Returns the result for a key that this process is not the home of.
    [[nodiscard]] call_result
    make_not_home_result(roster_tracker const& tracker,
                         idempotency_key const& key) const;

    traffic_core& core_;
    retry_ratio& ratio_;
    attempt_sender send_attempt_;
    ledger ledger_;
    std::map<service_name, roster_tracker> trackers_;
    // Handlers that wait for the result of a running key.
    std::map<idempotency_key, std::vector<call_handler>> waiters_;
    // Endpoints that have refused a connection, with the time of the last
    // lookup of the process behind each.
    std::map<peer_endpoint, mono_time> refusal_lookups_;
    process_ends process_ends_;
};

} // namespace pollenhall
