// Membership by gossip: the known peers, their liveness, and the service and
// state of the upstream beside each. Implements SWIM with incarnation numbers,
// suspicion and indirect probes. Peers compare hashes of their tables and
// synchronise the buckets that still differ after gossip.
//
// A state machine without I/O: it takes datagrams and timer ticks and returns
// the datagrams to send.

#pragma once

#include <pollenhall/crash_guard.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/state_chart.hpp>
#include <pollenhall/suspicion_gossip.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenhall
{

/// Address of a peer. Gossip (UDP) and traffic (TCP) use the same port number.
struct peer_endpoint
{
    /// IP address.
    std::string address;
    int port = 0;

    auto operator<=>(peer_endpoint const&) const = default;
};

/// Liveness of a peer, with the codes of `charts/peer.ini`.
enum class peer_liveness
{
    alive = 0,
    suspect = 1,
    dead = 2,
    left = 3
};

/// Returns the name used in reports, such as `alive`.
std::string_view to_string(peer_liveness life);

/// Whether a peer of that liveness takes no calls and answers no probes.
constexpr bool is_dead_or_left(peer_liveness life)
{
    return life == peer_liveness::dead || life == peer_liveness::left;
}

/// Record of a peer.
struct peer_info
{
    node_id node;
    boot_id boot;
    /// Incremented by the peer itself to refute a suspicion.
    int incarnation = 0;
    peer_liveness life = peer_liveness::alive;
    peer_endpoint endpoint;
    zone_name zone;
    /// Service of the upstream beside it; empty if there is none.
    service_name service;
    /// State of that upstream, a code of `charts/upstream.ini`.
    state_code upstream_state;
    /// Incremented by the peer when it changes service or upstream state, or
    /// leaves; starts at 0 in each boot.
    std::int64_t version = 0;

    bool operator==(peer_info const&) const = default;
};

/// Whether `candidate` supersedes `current`, a record of the same node.
bool is_newer(peer_info const& candidate, peer_info const& current);

/// Newest generation of a document space.
struct space_digest
{
    std::string space;
    generation newest;

    auto operator<=>(space_digest const&) const = default;
};

/// Kind of a datagram, with the codes of `idl/peer.thrift`.
enum class gossip_kind
{
    ping = 1,
    ack = 2,
    ping_request = 3,
    rumour = 4,
    sync = 5
};

/// Number of hash buckets in which peers compare their membership tables.
inline constexpr std::size_t bucket_count = 64;

/// One datagram between peers.
struct gossip_message
{
    gossip_kind kind = gossip_kind::rumour;
    std::int64_t sequence = 0;
    peer_info sender;
    node_id target;
    std::vector<peer_info> updates;
    std::vector<space_digest> spaces;
    std::vector<crash_suspicion> suspicions;
    /// Empty if the sender is of a version without it.
    std::optional<std::uint64_t> suspicion_hash;
    std::uint64_t table_hash = 0;
    std::uint64_t book_hash = 0;
    std::vector<std::uint64_t> bucket_hashes;
    bool reply_wanted = false;
};

/// A datagram and its destination.
struct gossip_send
{
    peer_endpoint to;
    gossip_message message;
};

/// Settings of `membership`.
struct membership_options
{
    /// Time between two probes by this node.
    milliseconds probe_interval{1'000};
    /// Time to wait for an ack before other peers are asked to probe.
    milliseconds ping_timeout{300};
    /// Number of peers that are asked to probe.
    int indirect_probes = 3;
    /// Time after which a suspect is declared dead, for up to ten peers. Grows
    /// with the decimal logarithm of the number of peers.
    milliseconds suspicion_timeout{3'000};
    /// If at least this share of a zone's peers is suspected at the same time,
    /// a network partition is assumed instead of their death.
    double mass_loss_share = 0.4;
    /// Time after which suspects are declared dead during a mass loss.
    milliseconds mass_loss_timeout{60'000};
    /// Time between two probes of dead peers.
    milliseconds dead_probe_interval{5'000};
    /// Time after which a dead or departed peer is removed from the table.
    milliseconds removal_delay{3'600'000};
    /// Maximum number of peer records in one datagram.
    std::size_t max_updates = 10;
    /// Number of peers to which an urgent update is sent at once.
    int urgent_fanout = 4;
    /// Maximum number of datagrams with records in reply to one sync.
    std::size_t max_sync_datagrams = 32;
    /// Minimum time between two syncs that this node starts.
    milliseconds min_sync_interval{1'000};
    /// Time for which tables may differ, while updates are still queued, before
    /// a sync is started.
    milliseconds sync_delay{2'000};
    /// Minimum time between two transfers of crash suspicions to peers that do
    /// not know all of them.
    milliseconds min_suspicion_sync_interval{100};
    /// Minimum time between two forwardings of urgent updates.
    milliseconds min_urgent_interval{100};
    /// Seed of the random number generator.
    std::uint64_t seed = 1;
};

/// The membership table of one node. Not thread-safe; used by the control
/// thread only.
class membership
{
public:
    membership(peer_info self, membership_options options);

    /// Adds addresses that are contacted while no live peer is known.
    void add_seeds(std::vector<peer_endpoint> const& seeds);

    /// Runs the timers. Returns the datagrams to send.
    std::vector<gossip_send> tick(mono_time now);
    /// Processes a received datagram. Returns the datagrams to send.
    std::vector<gossip_send> receive(gossip_message const& message,
                                     peer_endpoint const& from, mono_time now);

    /// Changes the upstream in this node's own record. Returns the datagrams to
    /// send.
    std::vector<gossip_send> set_upstream(service_name const& service,
                                          state_code state, mono_time now);
    /// Marks this node as departed. Returns the datagrams to send; afterwards
    /// the node neither probes nor answers.
    std::vector<gossip_send> leave(mono_time now);
    /// Gossips the digest of a changed space. Returns the datagrams to send.
    std::vector<gossip_send> announce_space(space_digest const& digest,
                                            mono_time now);
    /// Gossips the crash suspicions that are new. Returns the datagrams to
    /// send.
    std::vector<gossip_send>
    gossip_suspicions(std::vector<crash_suspicion> const& suspicions,
                      mono_time now);
    /// Returns the suspicions that peers have sent and that were new to this
    /// node, since the last call.
    std::vector<crash_suspicion> take_received_suspicions();
    /// Records the upstream state that a peer reported outside gossip. Ignored
    /// if the peer is unknown or has another boot id.
    void record_upstream_state(node_id const& node, boot_id boot,
                               service_name const& service, state_code state,
                               std::int64_t version, mono_time now);
    /// Sets the hash by which peers compare their documents; it is part of
    /// every datagram.
    void set_book_hash(std::uint64_t hash) { book_hash_ = hash; }

    [[nodiscard]] peer_info const& self() const { return self_; }
    /// Returns the record of a peer; null if it is unknown or this node itself.
    [[nodiscard]] peer_info const* find(node_id const& node) const;
    /// Returns all known peers, without this node.
    [[nodiscard]] std::vector<peer_info> peers() const;
    /// Calls `function` for each known peer, without this node.
    template <class Function>
    void for_each_peer(Function&& function) const
    {
        for (auto const& [node, entry] : peers_)
            function(entry.info);
    }
    /// Number of peers that are alive or suspect.
    [[nodiscard]] std::size_t live_count() const;
    /// Increases whenever the table changes.
    [[nodiscard]] std::uint64_t table_version() const { return table_version_; }
    /// Whether a newer process with this node's name runs at another endpoint.
    [[nodiscard]] bool is_superseded() const { return superseded_; }

private:
    struct peer_entry
    {
        peer_info info;
        // Start of the suspicion timeout and of the removal delay.
        mono_time life_changed_at{};
    };
    struct probe
    {
        node_id target;
        std::int64_t sequence = 0;
        mono_time started{};
        bool indirect = false;
    };
    struct relayed_probe
    {
        peer_endpoint requester;
        std::int64_t requester_sequence = 0;
        mono_time expires{};
    };
    struct queued_update
    {
        peer_info info;
        int transmissions_left = 0;
    };
    template <class Item>
    struct queued_item
    {
        Item item;
        int transmissions_left = 0;
    };

    using sends = std::vector<gossip_send>;

    // Returns whether the update is urgent: an upstream changed its state or a
    // peer left.
    bool merge(peer_info const& update, mono_time now);
    void merge_self_update(peer_info const& update);
    void change_life(peer_entry& entry, peer_liveness life, mono_time now);
    void queue_update(peer_info const& info);
    int transmission_count() const;
    gossip_message make_message(gossip_kind kind);
    void send_to(sends& out, peer_endpoint const& to, gossip_message message);
    void send_urgent(sends& out);
    void start_probe(sends& out, mono_time now);
    void contact_seeds(sends& out);
    void probe_dead_peer(sends& out, mono_time now);
    void start_indirect_probes(sends& out, mono_time now);
    void expire_probe(mono_time now);
    void expire_suspects(mono_time now);
    bool is_mass_loss(zone_name const& zone) const;
    milliseconds scaled_suspicion_timeout() const;
    std::optional<node_id> next_probe_target();
    std::vector<node_id> random_peers(std::size_t count, node_id const& except);
    void compare_table_hashes(sends& out, gossip_message const& message,
                              peer_endpoint const& from, mono_time now);
    void start_sync(sends& out, peer_endpoint const& to, mono_time now);
    void answer_sync(sends& out, gossip_message const& message,
                     peer_endpoint const& to);
    void answer_ping(sends& out, gossip_message const& message,
                     peer_endpoint const& from);
    // Returns whether the suspicion is new.
    bool add_suspicion(crash_suspicion const& suspicion);
    void send_new_suspicions(sends& out);
    // Adds the suspicions of a message, and sends others to its sender if that
    // one does not know all of them.
    void exchange_suspicions(sends& out, gossip_message const& message);
    void relay_ping(sends& out, gossip_message const& message,
                    peer_endpoint const& from, mono_time now);
    void accept_ack(sends& out, gossip_message const& message);
    std::array<std::uint64_t, bucket_count> bucket_hashes() const;
    std::uint64_t table_hash() const;

    membership_options options_;
    peer_info self_;
    std::map<node_id, peer_entry> peers_;
    std::vector<peer_endpoint> seeds_;
    std::mt19937_64 random_;
    std::vector<node_id> probe_order_;
    std::optional<probe> probe_;
    std::map<std::int64_t, relayed_probe> relayed_probes_;
    // Newest record of each node that still has to be gossiped.
    std::map<node_id, queued_update> queued_updates_;
    std::map<std::string, queued_item<space_digest>> queued_spaces_;
    suspicion_gossip suspicions_;
    std::vector<crash_suspicion> received_suspicions_;
    std::int64_t sequence_ = 0;
    mono_time next_probe_{};
    mono_time next_dead_probe_{};
    mono_time next_sync_{};
    mono_time next_urgent_{};
    mono_time next_suspicion_sync_{};
    // Time of the current or last call of a member function.
    mono_time now_{};
    // Since when the table hashes received differ from the one of this table.
    std::optional<mono_time> tables_differ_since_;
    std::uint64_t book_hash_ = 0;
    std::uint64_t table_version_ = 0;
    // Cached hash of the table and the table version it belongs to.
    mutable std::uint64_t table_hash_ = 0;
    mutable std::optional<std::uint64_t> table_hash_version_;
    bool superseded_ = false;
    bool left_ = false;
};

} // namespace pollenhall
