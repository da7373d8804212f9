// Which node is home of an idempotency key. A service's roster is a history
// of epochs; the time of issue inside the key selects the epoch and
// rendezvous hashing selects the home among its members. Since all nodes read
// the same number from the key, no two of them can be home of one key,
// whatever their clocks say.
//
// An epoch begins at a time of issue that lies ahead. It becomes active only
// when every member of the epoch before has promised to take no key issued
// from then on, or is certainly gone.

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

/// A process on a roster; a restarted node is another process.
struct roster_member
{
    node_id node;
    boot_id boot;

    auto operator<=>(roster_member const&) const = default;
};

/// One epoch of a roster.
struct roster_period
{
    roster_epoch number;
    /// Keys issued from here on, until the next epoch's start, belong to it.
    wall_time start;
    /// Sorted; at least one.
    std::vector<roster_member> members;

    bool operator==(roster_period const&) const = default;
};

/// History of a service's roster, oldest epoch first.
class roster_history
{
public:
    /// Parses the JSON text kept in the store.
    static absl::StatusOr<roster_history> parse(std::string_view text);
    /// JSON text for the store.
    [[nodiscard]] std::string format() const;

    /// Adds an epoch and drops those that ended before `oldest_needed`.
    /// The number must be one more and the start later than the last one's.
    absl::Status append(roster_period period, wall_time oldest_needed);

    /// The epoch that a key belongs to; null if it was issued before the
    /// first one.
    [[nodiscard]] roster_period const* find(wall_time issued) const;
    /// The newest epoch; null if there is none.
    [[nodiscard]] roster_period const* latest() const;
    /// Whether no epoch was dropped from the beginning.
    [[nodiscard]] bool starts_with_first() const;
    /// The epoch before `number`; null if there is none.
    [[nodiscard]] roster_period const* before(roster_epoch number) const;

    bool operator==(roster_history const&) const = default;

private:
    std::vector<roster_period> periods_;
};

/// The member of `period` that is home of `key`.
roster_member const& home_of(roster_period const& period,
                             idempotency_key const& key);

/// A member's answer to the request to seal.
struct seal_reply
{
    roster_epoch epoch;
    wall_time start;
    bool sealed = false;
    wall_time latest_accepted;
    roster_member from;
};

/// Whether this node may act as home of a key.
enum class home_verdict
{
    accepted,
    /// Another process is home.
    not_home,
    /// This process is home, but the epoch is not active yet; the key ran
    /// nowhere.
    not_active,
    /// This node promised to take no such key; a newer epoch decides on it.
    sealed
};

/// One node's part in the roster of one service. Not thread-safe.
class home_keeper
{
public:
    home_keeper(service_name service, roster_member self);

    /// Takes in a newer history.
    void on_history(roster_history history);
    /// Notes that the process of a member is gone for good.
    void on_gone(roster_member const& member);
    /// Answers the request to seal. `latest_accepted` is the latest time of
    /// issue that the ledger has admitted.
    seal_reply on_seal_request(roster_epoch epoch, wall_time start,
                               wall_time latest_accepted);
    /// Takes in an answer. A reply by a later process of the same node shows
    /// that the member is gone.
    void on_seal_reply(seal_reply const& reply);

    /// Whether this node may run a key as its home.
    [[nodiscard]] home_verdict judge(idempotency_key const& key) const;
    /// Whether all members of the epoch before the newest have promised.
    [[nodiscard]] bool is_latest_active() const;
    /// Members that must still be asked for their promise.
    [[nodiscard]] std::vector<roster_member> to_ask() const;

    [[nodiscard]] roster_history const& history() const { return history_; }
    [[nodiscard]] service_name const& service() const { return service_; }
    /// Processes that are known to be gone.
    [[nodiscard]] std::set<roster_member> const& gone() const { return gone_; }

private:
    [[nodiscard]] bool is_active(roster_period const& period) const;

    service_name service_;
    roster_member self_;
    roster_history history_;
    // No key issued at or after this is taken for an epoch before
    // sealed_epoch_.
    std::optional<wall_time> sealed_from_;
    roster_epoch sealed_epoch_;
    // Members that promised for the epoch of that number and start.
    std::map<std::pair<roster_epoch, wall_time>, std::set<roster_member>>
        promises_;
    // Epochs that were seen active; that never changes back.
    std::set<roster_epoch> active_;
    std::set<roster_member> gone_;
};

/// Time by which a new epoch's start lies ahead of its proposal. Larger than
/// the lead of clocks that homes accept, so that no member has taken a key
/// issued after it.
inline constexpr milliseconds roster_lead{3'000};

} // namespace pollenhall
