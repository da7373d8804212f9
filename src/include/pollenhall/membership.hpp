// Membership by gossip: which peers there are, which of them live, and what
// stands beside them. SWIM with incarnation numbers, suspicion and indirect
// probes; differences that gossip leaves are settled bucket by bucket.
//
// A pure state machine: datagrams and ticks go in, datagrams come out.

#pragma once

#include <pollenhall/crash_guard.hpp>
#include <pollenhall/ids.hpp>
#include <pollenhall/state_chart.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenhall
{

/// Address of a peer's gossip and traffic ports, which have one number.
struct peer_endpoint
{
    /// IP number.
    std::string address;
    int port = 0;

    auto operator<=>(peer_endpoint const&) const = default;
};

/// Life of a peer, with the codes of `charts/peer.ini`.
enum class peer_life
{
    alive = 0,
    suspect = 1,
    dead = 2,
    left = 3
};

/// The name used in reports, such as `alive`.
std::string_view to_string(peer_life life);

/// Whether a peer of that life takes no calls and answers no probes.
constexpr bool is_gone(peer_life life)
{
    return life == peer_life::dead || life == peer_life::left;
}

/// What is known of a peer.
struct peer_info
{
    node_id node;
    boot_id boot;
    /// Raised by the peer itself to refute a suspicion.
    int incarnation = 0;
    peer_life life = peer_life::alive;
    peer_endpoint endpoint;
    zone_name zone;
    /// Service of the upstream beside it; empty without one.
    service_name service;
    /// State of that upstream, a code of `charts/upstream.ini`.
    state_code upstream_state;
    /// Counts changes of service and upstream state in this boot.
    std::int64_t version = 0;

    bool operator==(peer_info const&) const = default;
};

/// Whether `left` is newer news about the same node than `right`.
bool is_newer(peer_info const& left, peer_info const& right);

/// Newest generation of a space of documents.
struct space_digest
{
    std::string space;
    generation newest;

    auto operator<=>(space_digest const&) const = default;
};

/// Kind of a datagram; see `idl/peer.thrift`.
enum class gossip_kind
{
    ping = 1,
    ack = 2,
    ping_request = 3,
    rumour = 4,
    sync = 5
};

/// Number of buckets that the table of peers is compared by.
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
    std::uint64_t table_hash = 0;
    std::uint64_t book_hash = 0;
    std::vector<std::uint64_t> bucket_hashes;
    bool reply_wanted = false;
};

/// A datagram to send.
struct gossip_send
{
    peer_endpoint to;
    gossip_message message;
};

/// Settings of `membership`.
struct membership_options
{
    /// Time between two probes by this node.
    milliseconds period{1'000};
    /// Wait for an answer before other peers are asked to probe.
    milliseconds ping_timeout{300};
    /// Peers that are asked to probe.
    int indirect_probes = 3;
    /// Time in which a suspect may refute, for ten peers; grows with the
    /// logarithm of their number.
    milliseconds suspicion{3'000};
    /// Share of a zone's peers that, when suspected together, are taken for
    /// cut off rather than dead.
    double mass_loss_share = 0.4;
    /// Time in which suspects of a mass loss are kept.
    milliseconds mass_loss_patience{60'000};
    /// Time between two probes of a peer that is held for dead.
    milliseconds dead_probe_period{5'000};
    /// Time after which a dead or departed peer is forgotten.
    milliseconds forget_after{3'600'000};
    /// Most records in one datagram.
    std::size_t max_updates = 10;
    /// Peers that hear urgent news at once.
    int urgent_fanout = 4;
    /// Most datagrams that answer one sync.
    std::size_t max_sync_datagrams = 32;
    /// Least time between two syncs that this node starts.
    milliseconds sync_interval{1'000};
    /// Time for which tables may differ while news is still being passed on.
    milliseconds sync_patience{2'000};
    /// Least time between two rounds of urgent news that are passed on.
    milliseconds urgent_interval{100};
    /// Seed of the random choices.
    std::uint64_t seed = 1;
};

/// The view of one node. Not thread-safe; belongs to the control thread.
class membership
{
public:
    membership(peer_info self, membership_options options);

    /// Adds addresses to contact while no peer is known.
    void add_seeds(std::vector<peer_endpoint> const& seeds);

    /// Runs the timers; returns what to send.
    std::vector<gossip_send> tick(mono_time now);
    /// Takes a datagram in; returns what to send.
    std::vector<gossip_send> receive(gossip_message const& message,
                                     peer_endpoint const& from, mono_time now);

    /// Changes what this node says of its upstream; returns urgent news.
    std::vector<gossip_send> set_upstream(service_name const& service,
                                          state_code state, mono_time now);
    /// Says goodbye; returns the news.
    std::vector<gossip_send> leave(mono_time now);
    /// Spreads a digest of a space that changed; returns urgent news.
    std::vector<gossip_send> announce_space(space_digest const& digest,
                                            mono_time now);
    /// Spreads a suspicion that was not spread before; returns urgent news.
    std::vector<gossip_send> relay_suspicion(crash_suspicion const& suspicion);
    /// Notes what a peer said of its upstream outside gossip.
    void note_upstream(node_id const& node, boot_id boot,
                       service_name const& service, state_code state,
                       std::int64_t version, mono_time now);
    /// Hash that peers compare their books by; part of every datagram.
    void set_book_hash(std::uint64_t hash) { book_hash_ = hash; }

    [[nodiscard]] peer_info const& self() const { return self_; }
    /// Null if the node is not known; this node itself is never in there.
    [[nodiscard]] peer_info const* find(node_id const& node) const;
    /// All known peers without this node.
    [[nodiscard]] std::vector<peer_info> peers() const;
    /// Calls `function` for each known peer without this node.
    template <class Function>
    void for_each_peer(Function&& function) const
    {
        for (auto const& [node, entry] : peers_)
            function(entry.info);
    }
    /// Number of peers that are alive or suspect.
    [[nodiscard]] std::size_t live_count() const;
    /// Grows whenever the table changes.
    [[nodiscard]] std::uint64_t table_version() const { return version_; }
    /// Whether another process runs under this node's name and is newer.
    [[nodiscard]] bool is_superseded() const { return superseded_; }

private:
    struct peer_entry
    {
        peer_info info;
        // When its life last changed; suspicion and forgetting count from it.
        mono_time since{};
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
    struct outgoing_update
    {
        peer_info info;
        int times_left = 0;
    };
    template <class Item>
    struct outgoing_item
    {
        Item item;
        int times_left = 0;
    };

    using sends = std::vector<gossip_send>;

    // Returns whether the news is urgent: an upstream that changed, a peer
    // that left.
    bool merge(peer_info const& news, mono_time now);
    void merge_about_self(peer_info const& news);
    void change_life(peer_entry& entry, peer_life life, mono_time now);
    void queue_update(peer_info const& info);
    int transmissions() const;
    gossip_message make_message(gossip_kind kind);
    void send_to(sends& out, peer_endpoint const& to, gossip_message message);
    void send_urgent(sends& out);
    void start_probe(sends& out, mono_time now);
    void start_seed_contact(sends& out);
    void probe_dead_peer(sends& out, mono_time now);
    void advance_probe(sends& out, mono_time now);
    void fail_probe(mono_time now);
    void expire_suspects(mono_time now);
    bool is_mass_loss(zone_name const& zone) const;
    milliseconds suspicion_time() const;
    std::optional<node_id> next_target();
    std::vector<node_id> random_peers(std::size_t count, node_id const& except);
    void compare_tables(sends& out, gossip_message const& message,
                        peer_endpoint const& from, mono_time now);
    void start_sync(sends& out, peer_endpoint const& to, mono_time now);
    void answer_sync(sends& out, gossip_message const& message,
                     peer_endpoint const& to);
    void answer_ping(sends& out, gossip_message const& message,
                     peer_endpoint const& from);
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
    std::map<std::int64_t, relayed_probe> relayed_;
    // Newest record of each node that still has to be passed on.
    std::map<node_id, outgoing_update> updates_;
    std::map<std::string, outgoing_item<space_digest>> spaces_;
    using suspicion_key = std::pair<fingerprint, crash_id>;
    std::map<suspicion_key, outgoing_item<crash_suspicion>> suspicions_;
    // Suspicions that were spread, latest last; bounded.
    std::deque<suspicion_key> spread_order_;
    std::set<suspicion_key> spread_;
    std::int64_t sequence_ = 0;
    mono_time next_probe_{};
    mono_time next_dead_probe_{};
    mono_time next_sync_{};
    mono_time next_urgent_{};
    // Since when the tables of peers that were heard differ from this one.
    std::optional<mono_time> differs_since_;
    std::uint64_t book_hash_ = 0;
    std::uint64_t version_ = 0;
    // Hash of the table at a version; computed again when that has changed.
    mutable std::uint64_t hash_ = 0;
    mutable std::optional<std::uint64_t> hash_version_;
    bool superseded_ = false;
    bool left_ = false;
};

} // namespace pollenhall
