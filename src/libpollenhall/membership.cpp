// Membership table, gossip of updates and table synchronisation. Failure
// detection is in membership_probes.cpp.

#include <pollenhall/hashing.hpp>
#include <pollenhall/membership.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pollenhall
{
namespace
{

// Each record is sent this many times per doubling of the number of live peers.
constexpr double transmissions_per_doubling = 2;
constexpr std::size_t max_digests_per_datagram = 16;

std::uint64_t hash_of(peer_info const& info)
{
    auto const text = info.node.value() + "/" +
                      std::to_string(info.boot.value()) + "/" +
                      std::to_string(info.incarnation) + "/" +
                      std::to_string(static_cast<int>(info.life)) + "/" +
                      std::to_string(info.version);
    return hash_text(text);
}

std::size_t bucket_of(node_id const& node)
{
    return hash_text(node.value()) % bucket_count;
}

} // namespace

std::string_view to_string(peer_liveness life)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead",
                                                    "left"};
    return names.at(static_cast<std::size_t>(life));
}

bool is_newer(peer_info const& candidate, peer_info const& current)
{
    // `left` is final within a boot: a node that has left does not return. Only
    // the node itself increments its version, so a newer version shows that the
    // node runs and takes precedence over the liveness reported by others.
    auto const order = [](peer_info const& info)
    {
        bool const has_left = info.life == peer_liveness::left;
        return std::make_tuple(info.boot, has_left, info.incarnation,
                               info.version, static_cast<int>(info.life));
    };
    return order(candidate) > order(current);
}

membership::membership(peer_info self, membership_options options)
    : options_(options), self_(std::move(self)), random_(options.seed)
{
    queue_update(self_);
}

void membership::add_seeds(std::vector<peer_endpoint> const& seeds)
{
    for (auto const& seed : seeds)
    {
        bool const known =
            std::find(seeds_.begin(), seeds_.end(), seed) != seeds_.end();
        if (!known && seed != self_.endpoint)
            seeds_.push_back(seed);
    }
}

peer_info const* membership::find(node_id const& node) const
{
    auto const found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second.info;
}

std::vector<peer_info> membership::peers() const
{
    std::vector<peer_info> result;
    result.reserve(peers_.size());
    for (auto const& [node, entry] : peers_)
        result.push_back(entry.info);
    return result;
}

std::size_t membership::live_count() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](auto const& item)
                      { return !is_dead_or_left(item.second.info.life); }));
}

int membership::transmission_count() const
{
    auto const doublings = std::log2(static_cast<double>(live_count()) + 2);
    return static_cast<int>(std::ceil(transmissions_per_doubling * doublings));
}

void membership::queue_update(peer_info const& info)
{
    queued_updates_[info.node] = {.info = info,
                                  .transmissions_left = transmission_count()};
    ++table_version_;
}

bool membership::merge(peer_info const& update, mono_time now)
{
    if (update.node == self_.node)
    {
        merge_self_update(update);
        return false;
    }
    auto const found = peers_.find(update.node);
    if (found == peers_.end())
    {
        peers_.emplace(update.node,
                       peer_entry{.info = update, .life_changed_at = now});
        queue_update(update);
        return false;
    }
    auto& entry = found->second;
    if (!is_newer(update, entry.info))
        return false;
    if (entry.info.life != update.life)
        entry.life_changed_at = now;
    bool const urgent = update.life == peer_liveness::left ||
                        update.upstream_state != entry.info.upstream_state;
    entry.info = update;
    queue_update(update);
    return urgent;
}

void membership::merge_self_update(peer_info const& update)
{
    if (update.boot > self_.boot && update.endpoint != self_.endpoint)
    {
        superseded_ = true;
        return;
    }
    if (update.boot > self_.boot)
    {
        // This process holds the endpoint, so the other process has terminated
        // and the wall clock has gone back since it started.
        self_.boot = boot_id(update.boot.value() + 1);
        queue_update(self_);
        return;
    }
    if (update.boot < self_.boot)
    {
        // The sender still has a record of the previous process of this node.
        queue_update(self_);
        return;
    }
    if (left_ || update.life == peer_liveness::alive ||
        update.incarnation < self_.incarnation)
        return;
    self_.incarnation = update.incarnation + 1;
    queue_update(self_);
}

void membership::change_life(peer_entry& entry, peer_liveness life,
                             mono_time now)
{
    entry.info.life = life;
    entry.life_changed_at = now;
    queue_update(entry.info);
}

gossip_message membership::make_message(gossip_kind kind)
{
    gossip_message message;
    message.kind = kind;
    message.sender = self_;
    message.table_hash = table_hash();
    message.book_hash = book_hash_;
    auto const take = [](auto& queue, std::size_t limit, auto&& add)
    {
        for (auto item = queue.begin(); item != queue.end() && limit > 0;
             --limit)
        {
            auto const current = item++;
            add(current->second);
            if (--current->second.transmissions_left <= 0)
                queue.erase(current);
        }
    };
    // Start at a random record, so that the records at the end of a long queue
    // are sent too.
    std::size_t room = options_.max_updates;
    auto position = queued_updates_.lower_bound(
        queued_updates_.empty()
            ? node_id{}
            : std::next(queued_updates_.begin(),
                        static_cast<std::ptrdiff_t>(random_() %
                                                    queued_updates_.size()))
                  ->first);
    for (auto count = queued_updates_.size(); count > 0 && room > 0;
         --count, --room)
    {
        if (position == queued_updates_.end())
            position = queued_updates_.begin();
        auto const current = position++;
        message.updates.push_back(current->second.info);
        if (--current->second.transmissions_left <= 0)
            queued_updates_.erase(current);
    }
    take(queued_spaces_, max_digests_per_datagram,
         [&](auto& entry) { message.spaces.push_back(entry.item); });
    message.suspicions = suspicions_.take_queued(now_);
    message.suspicion_hash = suspicions_.hash(now_);
    return message;
}

void membership::send_to(sends& out, peer_endpoint const& to,
                         gossip_message message)
{
    out.push_back({.to = to, .message = std::move(message)});
}

std::vector<node_id> membership::random_peers(std::size_t count,
                                              node_id const& except)
{
    std::vector<node_id> live;
    for (auto const& [node, entry] : peers_)
    {
        if (!is_dead_or_left(entry.info.life) && node != except)
            live.push_back(node);
    }
    count = std::min(count, live.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(live[i], live[i + random_() % (live.size() - i)]);
    live.resize(count);
    return live;
}

void membership::send_urgent(sends& out)
{
    auto const chosen = random_peers(
        static_cast<std::size_t>(options_.urgent_fanout), self_.node);
    for (auto const& node : chosen)
        send_to(out, peers_.at(node).info.endpoint,
                make_message(gossip_kind::rumour));
}

std::vector<gossip_send> membership::set_upstream(service_name const& service,
                                                  state_code state,
                                                  mono_time now)
{
    now_ = now;
    sends out;
    if (self_.service == service && self_.upstream_state == state)
        return out;
    self_.service = service;
    self_.upstream_state = state;
    ++self_.version;
    queue_update(self_);
    send_urgent(out);
    return out;
}

std::vector<gossip_send> membership::leave(mono_time now)
{
    now_ = now;
    sends out;
    left_ = true;
    self_.life = peer_liveness::left;
    ++self_.version;
    queue_update(self_);
    send_urgent(out);
    return out;
}

std::vector<gossip_send> membership::announce_space(space_digest const& digest,
                                                    mono_time now)
{
    now_ = now;
    sends out;
    queued_spaces_[digest.space] = {.item = digest,
                                    .transmissions_left = transmission_count()};
    send_urgent(out);
    return out;
}

std::vector<gossip_send>
membership::gossip_suspicions(std::vector<crash_suspicion> const& suspicions,
                              mono_time now)
{
    now_ = now;
    sends out;
    bool any_new = false;
    for (auto const& suspicion : suspicions)
        any_new = add_suspicion(suspicion) || any_new;
    if (any_new)
        send_new_suspicions(out);
    return out;
}

std::vector<crash_suspicion> membership::take_received_suspicions()
{
    return std::exchange(received_suspicions_, {});
}

bool membership::add_suspicion(crash_suspicion const& suspicion)
{
    return suspicions_.add(suspicion, transmission_count(), now_);
}

void membership::send_new_suspicions(sends& out)
{
    for (auto count = suspicions_.queued_datagrams(); count > 0; --count)
        send_urgent(out);
}

void membership::exchange_suspicions(sends& out, gossip_message const& message)
{
    bool any_new = false;
    for (auto const& suspicion : message.suspicions)
    {
        if (!add_suspicion(suspicion))
            continue;
        any_new = true;
        received_suspicions_.push_back(suspicion);
    }
    if (any_new)
        send_new_suspicions(out);
    // A rumour may have been sent in the middle of a round of gossip, so that
    // its hash is not compared.
    bool const is_in_sync = message.kind == gossip_kind::rumour ||
                            !message.suspicion_hash ||
                            *message.suspicion_hash == suspicions_.hash(now_);
    if (is_in_sync || now_ < next_suspicion_sync_)
        return;
    next_suspicion_sync_ = now_ + options_.min_suspicion_sync_interval;
    auto const all = suspicions_.for_sync(random_, now_);
    for (std::size_t start = 0; start < all.size();
         start += max_suspicions_per_datagram)
    {
        auto const end =
            std::min(start + max_suspicions_per_datagram, all.size());
        auto part = make_message(gossip_kind::rumour);
        part.suspicions.insert(part.suspicions.end(),
                               all.begin() + static_cast<std::ptrdiff_t>(start),
                               all.begin() + static_cast<std::ptrdiff_t>(end));
        send_to(out, message.sender.endpoint, std::move(part));
    }
}

void membership::record_upstream_state(node_id const& node, boot_id boot,
                                       service_name const& service,
                                       state_code state, std::int64_t version,
                                       mono_time now)
{
    auto const* const known = find(node);
    if (known == nullptr || known->boot != boot)
        return;
    auto update = *known;
    update.service = service;
    update.upstream_state = state;
    update.version = version;
    merge(update, now);
}

std::vector<gossip_send> membership::tick(mono_time now)
{
    now_ = now;
    sends out;
    if (left_)
        return out;
    start_indirect_probes(out, now);
    if (now >= next_probe_)
    {
        next_probe_ = now + options_.probe_interval;
        expire_probe(now);
        expire_suspects(now);
        start_probe(out, now);
    }
    if (now >= next_dead_probe_)
        probe_dead_peer(out, now);
    std::erase_if(relayed_probes_,
                  [&](auto const& item) { return now >= item.second.expires; });
    return out;
}

std::vector<gossip_send> membership::receive(gossip_message const& message,
                                             peer_endpoint const& from,
                                             mono_time now)
{
    now_ = now;
    sends out;
    // A node that has left must not answer, or peers would see it as alive.
    if (left_ || message.sender.node == self_.node)
    {
        merge(message.sender, now);
        return out;
    }
    exchange_suspicions(out, message);
    bool urgent = merge(message.sender, now);
    for (auto const& update : message.updates)
        urgent = merge(update, now) || urgent;
    // An urgent update is forwarded at once, at a bounded rate. Updates that
    // exceed the rate are sent with the next probes.
    if (urgent && now >= next_urgent_)
    {
        next_urgent_ = now + options_.min_urgent_interval;
        send_urgent(out);
    }
    switch (message.kind)
    {
    case gossip_kind::ping:
        answer_ping(out, message, from);
        break;
    case gossip_kind::ack:
        accept_ack(out, message);
        break;
    case gossip_kind::ping_request:
        relay_ping(out, message, from, now);
        break;
    case gossip_kind::sync:
        answer_sync(out, message, from);
        break;
    case gossip_kind::rumour:
        break;
    }
    compare_table_hashes(out, message, from, now);
    return out;
}

void membership::compare_table_hashes(sends& out, gossip_message const& message,
                                      peer_endpoint const& from, mono_time now)
{
    bool const has_table_hash =
        message.kind == gossip_kind::ping || message.kind == gossip_kind::ack;
    if (!has_table_hash)
        return;
    if (message.table_hash == table_hash())
    {
        tables_differ_since_.reset();
        return;
    }
    if (!tables_differ_since_)
        tables_differ_since_ = now;
    bool const sync_is_due = queued_updates_.empty() ||
                             now >= *tables_differ_since_ + options_.sync_delay;
    if (sync_is_due && now >= next_sync_)
        start_sync(out, from, now);
}

std::array<std::uint64_t, bucket_count> membership::bucket_hashes() const
{
    std::array<std::uint64_t, bucket_count> hashes{};
    for (auto const& [node, entry] : peers_)
        hashes.at(bucket_of(node)) ^= hash_of(entry.info);
    hashes.at(bucket_of(self_.node)) ^= hash_of(self_);
    return hashes;
}

std::uint64_t membership::table_hash() const
{
    if (table_hash_version_ == table_version_)
        return table_hash_;
    table_hash_ = hash_of(self_);
    for (auto const& [node, entry] : peers_)
        table_hash_ ^= hash_of(entry.info);
    table_hash_version_ = table_version_;
    return table_hash_;
}

void membership::start_sync(sends& out, peer_endpoint const& to, mono_time now)
{
    next_sync_ = now + options_.min_sync_interval;
    auto message = make_message(gossip_kind::sync);
    auto const hashes = bucket_hashes();
    message.bucket_hashes.assign(hashes.begin(), hashes.end());
    message.reply_wanted = true;
    send_to(out, to, std::move(message));
}

void membership::answer_sync(sends& out, gossip_message const& message,
                             peer_endpoint const& to)
{
    if (message.bucket_hashes.size() != bucket_count)
        return;
    auto const hashes = bucket_hashes();
    std::vector<peer_info> different;
    auto const collect = [&](peer_info const& info)
    {
        auto const bucket = bucket_of(info.node);
        if (hashes.at(bucket) != message.bucket_hashes[bucket])
            different.push_back(info);
    };
    collect(self_);
    for (auto const& [node, entry] : peers_)
        collect(entry.info);
    // Random order: if not all records fit, the next sync sends others.
    std::shuffle(different.begin(), different.end(), random_);
    auto const limit = options_.max_updates * options_.max_sync_datagrams;
    different.resize(std::min(different.size(), limit));
    for (std::size_t start = 0; start < different.size();
         start += options_.max_updates)
    {
        auto const end =
            std::min(start + options_.max_updates, different.size());
        auto part = make_message(gossip_kind::rumour);
        part.updates.assign(
            different.begin() + static_cast<std::ptrdiff_t>(start),
            different.begin() + static_cast<std::ptrdiff_t>(end));
        send_to(out, to, std::move(part));
    }
    if (!message.reply_wanted)
        return;
    auto reply = make_message(gossip_kind::sync);
    reply.bucket_hashes.assign(hashes.begin(), hashes.end());
    send_to(out, to, std::move(reply));
}

} // namespace pollenhall
