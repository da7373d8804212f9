// Selects the home of an idempotency key: the only process that may run a
// request with that key. A service's roster is a history of epochs. The issue
// time inside the key selects the epoch, and rendezvous hashing selects the
// home among the members of the epoch. All nodes read the same issue time from
// the key, so clock differences cannot give one key two homes.
//
// An epoch starts at an issue time in the future. It becomes active only when
// every member of the previous epoch has sealed that epoch or has certainly
// terminated. A member that has sealed accepts no key issued at or after the
// new start as a home of the previous epoch.

#pragma once

#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/ids.hpp>

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// A process on a roster. A restarted node is a different process.
struct roster_member
{
    node_id node;
    boot_id boot;

    auto operator<=>(roster_member const&) const = default;
};

/// The members of a service's roster in one epoch.
struct epoch_roster
{
    roster_epoch number;
    /// Keys issued at or after this time, and before the start of the next
    /// epoch, belong to this epoch.
    wall_time start;
    /// Sorted; never empty.
    std::vector<roster_member> members;

    bool operator==(epoch_roster const&) const = default;
};

/// Epochs of a service's roster, oldest first.
class roster_history
{
public:
    /// Parses the JSON text from the store. Returns InvalidArgument if the text
    /// is malformed or its epochs are out of order.
    static absl::StatusOr<roster_history> parse(std::string_view text);
    /// Returns the JSON text for the store.
    [[nodiscard]] std::string format() const;

    /// Adds an epoch and drops epochs that ended before `oldest_needed`, except
    /// the newest two. Returns InvalidArgument unless the number follows that
    /// of the newest epoch and the start is later.
    absl::Status append(epoch_roster epoch, wall_time oldest_needed);

    /// Returns the epoch that a key issued at `issued` belongs to; null if the
    /// key was issued before the oldest epoch.
    [[nodiscard]] epoch_roster const* find(wall_time issued) const;
    /// Returns the newest epoch; null if there is none.
    [[nodiscard]] epoch_roster const* latest() const;
    /// Whether the history still contains epoch 1.
    [[nodiscard]] bool contains_first_epoch() const;
    /// Returns the newest epoch before `number`; null if there is none.
    [[nodiscard]] epoch_roster const* before(roster_epoch number) const;

    bool operator==(roster_history const&) const = default;

private:
    std::vector<epoch_roster> epochs_;
};

/// Returns the member of `epoch` that is the home of `key`.
roster_member const& home_of(epoch_roster const& epoch,
                             idempotency_key const& key);

/// A member's reply to a seal request.
struct seal_reply
{
    /// Number and start of the new epoch, as in the request.
    roster_epoch epoch;
    wall_time start;
    bool sealed = false;
    /// Latest issue time of a key that the member has accepted.
    wall_time latest_accepted;
    roster_member from;
};

/// Whether this process may run a key as its home.
enum class home_check_result
{
    accepted,
    /// Another process is the home, or no known epoch covers the key.
    not_home,
    /// This process is the home, but the epoch is not active yet, so no process
    /// has run the key.
    not_active,
    /// This process has sealed the epoch against this key. The home in a newer
    /// epoch decides.
    sealed,
    /// This process is the home, but that of the previous epoch has terminated
    /// without sealing it, and may have run the key.
    may_have_run
};

/// Tracks the roster of one service for one process: which epochs are active,
/// and which keys this process may run. Not thread-safe.
class roster_tracker
{
public:
    roster_tracker(service_name service, roster_member self);

    /// Replaces the history; ignored unless its newest epoch is newer.
    void on_history(roster_history history);
    /// Records that a member's process had terminated at `time`, or before.
    void on_member_terminated(roster_member const& member, wall_time time);
    /// Answers a request to seal the current epoch for the new epoch `epoch`,
    /// which starts at `start`. `latest_accepted` is the latest issue time that
    /// the key ledger has admitted. Refused if a key issued at or after `start`
    /// was admitted, or if this process has sealed for a newer epoch.
    seal_reply on_seal_request(roster_epoch epoch, wall_time start,
                               wall_time latest_accepted);
    /// Records a reply. A reply from a later process of the same node shows
    /// that the member has terminated.
    void on_seal_reply(seal_reply const& reply, wall_time now);

    /// Whether this process may run a key as its home.
    [[nodiscard]] home_check_result
    check_home(idempotency_key const& key) const;
    /// Whether the newest epoch is active.
    [[nodiscard]] bool is_latest_active() const;
    /// Members of the previous epoch that have neither sealed it nor
    /// terminated; empty if the newest epoch is active.
    [[nodiscard]] std::vector<roster_member> unsealed_members() const;

    [[nodiscard]] roster_history const& history() const { return history_; }
    [[nodiscard]] service_name const& service() const { return service_; }
    /// Processes that are known to have terminated.
    [[nodiscard]] std::set<roster_member> terminated() const;

private:
    [[nodiscard]] bool is_active(epoch_roster const& epoch) const;
    [[nodiscard]] bool has_sealed(roster_member const& member,
                                  epoch_roster const& next) const;
    // Whether the home of the epoch before `epoch` may have run a key that
    // belongs to `epoch`.
    [[nodiscard]] bool may_have_run_before(epoch_roster const& epoch,
                                           idempotency_key const& key) const;

    service_name service_;
    roster_member self_;
    roster_history history_;
    // Seals that this process has given: keys issued at or after the time are
    // rejected in epochs before the number. A later one does not end an earlier
    // one, as this process may know neither of the epochs yet.
    std::map<roster_epoch, wall_time> own_seals_;
    // Members that sealed their epoch, by number and start of the new epoch.
    std::map<std::pair<roster_epoch, wall_time>, std::set<roster_member>>
        seals_;
    // Epochs that have become active; an active epoch stays active.
    std::set<roster_epoch> active_epochs_;
    // Processes that have terminated, with a time at which they had.
    std::map<roster_member, wall_time> terminated_;
};

/// Minimum time between the proposal of an epoch and its start. It is larger
/// than the clock lead that homes accept in a key's issue time, so no member
/// has accepted a key that belongs to the new epoch.
inline constexpr milliseconds min_epoch_lead{3'000};

} // namespace pollenhall
