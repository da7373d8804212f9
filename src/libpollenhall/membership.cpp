// Implements membership by gossip.

#include <pollenhall/hashing.hpp>
#include <pollenhall/membership.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pollenhall
{
namespace
{

// Every record is passed on this many times the logarithm of the peers.
constexpr double transmissions_per_doubling = 2;
constexpr std::size_t max_digests = 16;
constexpr std::size_t max_suspicions = 16;
constexpr std::size_t max_remembered_suspicions = 4'096;

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

std::string_view to_string(peer_life life)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead",
                                                    "left"};
    return names.at(static_cast<std::size_t>(life));
}

bool is_newer(peer_info const& left, peer_info const& right)
{
    // `left` is final within a boot: a node that said goodbye stays gone. A
    // version is raised by the node itself, so a newer one is a sign of life
    // and stands before what others say of its life.
    auto const order = [](peer_info const& info)
    {
        bool const final_word = info.life == peer_life::left;
        return std::make_tuple(info.boot, final_word, info.incarnation,
                               info.version, static_cast<int>(info.life));
    };
    return order(left) > order(right);
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
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [](auto const& item) { return !is_gone(item.second.info.life); }));
}

int membership::transmissions() const
{
    auto const doublings = std::log2(static_cast<double>(live_count()) + 2);
    return static_cast<int>(std::ceil(transmissions_per_doubling * doublings));
}

void membership::queue_update(peer_info const& info)
{
    updates_[info.node] = {.info = info, .times_left = transmissions()};
    ++version_;
}

bool membership::merge(peer_info const& news, mono_time now)
{
    if (news.node == self_.node)
    {
        merge_about_self(news);
        return false;
    }
    auto const found = peers_.find(news.node);
    if (found == peers_.end())
    {
        peers_.emplace(news.node, peer_entry{.info = news, .since = now});
        queue_update(news);
        return false;
    }
    auto& entry = found->second;
    if (!is_newer(news, entry.info))
        return false;
    if (entry.info.life != news.life)
        entry.since = now;
    bool const urgent = news.life == peer_life::left ||
                        news.upstream_state != entry.info.upstream_state;
    entry.info = news;
    queue_update(news);
    return urgent;
}

void membership::merge_about_self(peer_info const& news)
{
    if (news.boot > self_.boot && news.endpoint != self_.endpoint)
    {
        superseded_ = true;
        return;
    }
    if (news.boot > self_.boot)
    {
        // This process holds the endpoint, so the other one is gone and the
        // wall clock has moved back since.
        self_.boot = boot_id(news.boot.value() + 1);
        queue_update(self_);
        return;
    }
    if (news.boot < self_.boot)
    {
        // Peers still hold the former process; make them hear of this one.
        queue_update(self_);
        return;
    }
    if (left_ || news.life == peer_life::alive ||
        news.incarnation < self_.incarnation)
        return;
    self_.incarnation = news.incarnation + 1;
    queue_update(self_);
}

void membership::change_life(peer_entry& entry, peer_life life, mono_time now)
{
    entry.info.life = life;
    entry.since = now;
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
            if (--current->second.times_left <= 0)
                queue.erase(current);
        }
    };
    // Start at a random record, so that a long queue is not served from its
    // beginning only.
    std::size_t room = options_.max_updates;
    auto position = updates_.lower_bound(
        updates_.empty()
            ? node_id{}
            : std::next(updates_.begin(), static_cast<std::ptrdiff_t>(
                                              random_() % updates_.size()))
                  ->first);
    for (auto count = updates_.size(); count > 0 && room > 0; --count, --room)
    {
        if (position == updates_.end())
            position = updates_.begin();
        auto const current = position++;
        message.updates.push_back(current->second.info);
        if (--current->second.times_left <= 0)
            updates_.erase(current);
    }
    take(spaces_, max_digests,
         [&](auto& entry) { message.spaces.push_back(entry.item); });
    take(suspicions_, max_suspicions,
         [&](auto& entry) { message.suspicions.push_back(entry.item); });
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
        if (!is_gone(entry.info.life) && node != except)
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
                                                  mono_time /*now*/)
{
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

std::vector<gossip_send> membership::leave(mono_time /*now*/)
{
    sends out;
    left_ = true;
    self_.life = peer_life::left;
    ++self_.version;
    queue_update(self_);
    send_urgent(out);
    return out;
}

std::vector<gossip_send> membership::announce_space(space_digest const& digest,
                                                    mono_time /*now*/)
{
    sends out;
    spaces_[digest.space] = {.item = digest, .times_left = transmissions()};
    send_urgent(out);
    return out;
}

std::vector<gossip_send>
membership::relay_suspicion(crash_suspicion const& suspicion)
{
    sends out;
    suspicion_key const key{suspicion.content, suspicion.crash};
    if (!spread_.insert(key).second)
        return out;
    spread_order_.push_back(key);
    if (spread_order_.size() > max_remembered_suspicions)
    {
        spread_.erase(spread_order_.front());
        spread_order_.pop_front();
    }
    suspicions_[key] = {.item = suspicion, .times_left = transmissions()};
    send_urgent(out);
    return out;
}

void membership::note_upstream(node_id const& node, boot_id boot,
                               service_name const& service, state_code state,
                               std::int64_t version, mono_time now)
{
    auto const* const known = find(node);
    if (known == nullptr || known->boot != boot)
        return;
    auto news = *known;
    news.service = service;
    news.upstream_state = state;
    news.version = version;
    merge(news, now);
}

std::vector<gossip_send> membership::tick(mono_time now)
{
    sends out;
    if (left_)
        return out;
    advance_probe(out, now);
    if (now >= next_probe_)
    {
        next_probe_ = now + options_.period;
        fail_probe(now);
        expire_suspects(now);
        start_probe(out, now);
    }
    if (now >= next_dead_probe_)
        probe_dead_peer(out, now);
    std::erase_if(relayed_,
                  [&](auto const& item) { return now >= item.second.expires; });
    return out;
}

std::vector<gossip_send> membership::receive(gossip_message const& message,
                                             peer_endpoint const& from,
                                             mono_time now)
{
    sends out;
    // A node that said goodbye must not come back by its own answers.
    if (left_ || message.sender.node == self_.node)
    {
        merge(message.sender, now);
        return out;
    }
    bool urgent = merge(message.sender, now);
    for (auto const& update : message.updates)
        urgent = merge(update, now) || urgent;
    // Each node passes urgent news on at once, once, at a bounded rate; what
    // that misses travels with the probes.
    if (urgent && now >= next_urgent_)
    {
        next_urgent_ = now + options_.urgent_interval;
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
    compare_tables(out, message, from, now);
    return out;
}

void membership::compare_tables(sends& out, gossip_message const& message,
                                peer_endpoint const& from, mono_time now)
{
    bool const tells =
        message.kind == gossip_kind::ping || message.kind == gossip_kind::ack;
    if (!tells)
        return;
    if (message.table_hash == table_hash())
    {
        differs_since_.reset();
        return;
    }
    if (!differs_since_)
        differs_since_ = now;
    bool const news_is_due =
        updates_.empty() || now >= *differs_since_ + options_.sync_patience;
    if (news_is_due && now >= next_sync_)
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
    if (hash_version_ == version_)
        return hash_;
    hash_ = hash_of(self_);
    for (auto const& [node, entry] : peers_)
        hash_ ^= hash_of(entry.info);
    hash_version_ = version_;
    return hash_;
}

void membership::start_sync(sends& out, peer_endpoint const& to, mono_time now)
{
    next_sync_ = now + options_.sync_interval;
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
    // Random order: if not all fit, another sync brings others.
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
