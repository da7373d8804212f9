// The node's part as home of idempotency keys: keeps the ledger, runs each
// key once, and takes part in the hand-over between roster epochs.

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

/// What an entry learns when it looks for the home of a key.
enum class home_presence
{
    /// No roster that covers the key is known here yet.
    not_known,
    /// The home may be asked.
    present,
    /// The home is gone for good; the key may have run there.
    gone,
    /// The key certainly did not run and will not.
    never_ran
};

/// The home of a key.
struct home_lookup
{
    home_presence presence = home_presence::not_known;
    /// Set if `presence` is `present`.
    node_id home;
};

/// The service. Belongs to the traffic thread.
class home_service
{
public:
    /// Sends a try to any upstream of the call's service.
    home_service(traffic_core& core, retry_ratio& ratio, try_sender spread);

    /// Takes in rosters and departures from the current view; call it when
    /// the view has changed and from time to time.
    void refresh();
    /// Notes that nothing listens at an endpoint any more.
    void on_refused(peer_endpoint const& endpoint);

    /// Finds the home of a key of a service.
    [[nodiscard]] home_lookup find_home(service_name const& service,
                                        idempotency_key const& key) const;
    /// Runs a key that this node should be home of, or answers from the
    /// ledger. The handler is called once.
    void run(forwarded_call call, call_handler handler);

    /// Answers a request to seal.
    wire::seal_answer on_seal(wire::seal_request const& request);
    void on_sealed(wire::seal_answer const& answer);

    /// What is known of each roster's newest epoch.
    [[nodiscard]] std::vector<roster_status> roster_statuses() const;

private:
    using ledger = key_ledger<call_result>;

    roster_tracker& find_or_add_tracker(service_name const& service);
    void note_departures(roster_tracker& item, node_view const& view);
    void ask_for_promises(roster_tracker& item, node_view const& view);
    void start(forwarded_call call, call_handler handler);
    void on_end(idempotency_key const& key, call_result const& result);
    [[nodiscard]] std::optional<wall_time>
    termination_time(roster_member const& process, node_view const& view) const;
    [[nodiscard]] call_result
    refuse_foreign_key(roster_tracker const& item,
                       idempotency_key const& key) const;

    traffic_core& core_;
    retry_ratio& ratio_;
    try_sender spread_;
    ledger ledger_;
    std::map<service_name, roster_tracker> trackers_;
    // Callers that wait for a running key.
    std::map<idempotency_key, std::vector<call_handler>> waiters_;
    // Endpoints that refused lately, so that each is looked up rarely.
    std::map<peer_endpoint, mono_time> refused_lately_;
    process_ends ends_;
};

} // namespace pollenhall
