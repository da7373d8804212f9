// Failure detection of the membership table: direct and indirect probes,
// suspicion, and the removal of dead peers.

#include <pollenhall/membership.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall
{

std::optional<node_id> membership::next_probe_target()
{
    while (true)
    {
        if (probe_order_.empty())
        {
            probe_order_ = random_peers(peers_.size(), self_.node);
            if (probe_order_.empty())
                return std::nullopt;
        }
        auto const node = probe_order_.back();
        probe_order_.pop_back();
        auto const found = peers_.find(node);
        if (found != peers_.end() && !is_dead_or_left(found->second.info.life))
            return node;
    }
}

void membership::start_probe(sends& out, mono_time now)
{
    auto const target = next_probe_target();
    if (!target)
    {
        contact_seeds(out);
        return;
    }
    probe_ = {.target = *target,
              .sequence = ++sequence_,
              .started = now,
              .indirect = false};
    auto message = make_message(gossip_kind::ping);
    message.sequence = probe_->sequence;
    message.target = *target;
    // A suspect learns of the suspicion from the ping and can refute it.
    auto const& info = peers_.at(*target).info;
    if (info.life == peer_liveness::suspect)
        message.updates.push_back(info);
    send_to(out, info.endpoint, std::move(message));
}

void membership::contact_seeds(sends& out)
{
    for (auto const& seed : seeds_)
    {
        auto message = make_message(gossip_kind::sync);
        auto const hashes = bucket_hashes();
        message.bucket_hashes.assign(hashes.begin(), hashes.end());
        message.reply_wanted = true;
        message.updates = {self_};
        send_to(out, seed, std::move(message));
    }
}

// Finds peers again after a network partition has healed.
void membership::probe_dead_peer(sends& out, mono_time now)
{
    next_dead_probe_ = now + options_.dead_probe_interval;
    std::vector<peer_info const*> dead;
    for (auto const& [node, entry] : peers_)
    {
        if (entry.info.life == peer_liveness::dead)
            dead.push_back(&entry.info);
    }
    if (dead.empty())
        return;
    auto const& target = *dead[random_() % dead.size()];
    auto message = make_message(gossip_kind::ping);
    message.sequence = ++sequence_;
    message.target = target.node;
    message.updates.push_back(target);
    send_to(out, target.endpoint, std::move(message));
}

void membership::start_indirect_probes(sends& out, mono_time now)
{
    if (!probe_ || probe_->indirect ||
        now < probe_->started + options_.ping_timeout)
        return;
    probe_->indirect = true;
    auto const helpers = random_peers(
        static_cast<std::size_t>(options_.indirect_probes), probe_->target);
    for (auto const& node : helpers)
    {
        auto message = make_message(gossip_kind::ping_request);
        message.sequence = probe_->sequence;
        message.target = probe_->target;
        send_to(out, peers_.at(node).info.endpoint, std::move(message));
    }
}

void membership::expire_probe(mono_time now)
{
    if (!probe_)
        return;
    auto const found = peers_.find(probe_->target);
    if (found != peers_.end() &&
        found->second.info.life == peer_liveness::alive)
        change_life(found->second, peer_liveness::suspect, now);
    probe_.reset();
}

milliseconds membership::scaled_suspicion_timeout() const
{
    auto const peers = static_cast<double>(live_count()) + 1;
    auto const factor = std::max(1.0, std::log10(peers));
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(options_.suspicion_timeout.count()) * factor));
}

bool membership::is_mass_loss(zone_name const& zone) const
{
    std::size_t known = 0;
    std::size_t suspects = 0;
    for (auto const& [node, entry] : peers_)
    {
        if (entry.info.zone != zone || is_dead_or_left(entry.info.life))
            continue;
        ++known;
        suspects += entry.info.life == peer_liveness::suspect ? 1 : 0;
    }
    // Fewer suspects are not taken as a sign of a partition.
    constexpr std::size_t min_mass_loss_suspects = 3;
    return suspects >= min_mass_loss_suspects &&
           static_cast<double>(suspects) >=
               options_.mass_loss_share * static_cast<double>(known);
}

void membership::expire_suspects(mono_time now)
{
    auto const timeout = scaled_suspicion_timeout();
    std::map<zone_name, bool> mass_loss;
    for (auto& [node, entry] : peers_)
    {
        if (entry.info.life != peer_liveness::suspect ||
            now < entry.life_changed_at + timeout)
            continue;
        auto const [item, is_new] =
            mass_loss.try_emplace(entry.info.zone, false);
        if (is_new)
            item->second = is_mass_loss(entry.info.zone);
        if (item->second &&
            now < entry.life_changed_at + options_.mass_loss_timeout)
            continue;
        change_life(entry, peer_liveness::dead, now);
    }
    auto const removed = std::erase_if(
        peers_,
        [&](auto const& item)
        {
            return is_dead_or_left(item.second.info.life) &&
                   now >= item.second.life_changed_at + options_.removal_delay;
        });
    table_version_ += removed;
}

void membership::answer_ping(sends& out, gossip_message const& message,
                             peer_endpoint const& from)
{
    // The ping may be for another node that used this address before.
    if (message.target != self_.node)
        return;
    auto answer = make_message(gossip_kind::ack);
    answer.sequence = message.sequence;
    answer.target = self_.node;
    send_to(out, from, std::move(answer));
}

void membership::relay_ping(sends& out, gossip_message const& message,
                            peer_endpoint const& from, mono_time now)
{
    auto const* const target = find(message.target);
    if (target == nullptr)
        return;
    auto const sequence = ++sequence_;
    relayed_probes_[sequence] = {.requester = from,
                                 .requester_sequence = message.sequence,
                                 .expires = now + options_.probe_interval};
    auto ping = make_message(gossip_kind::ping);
    ping.sequence = sequence;
    ping.target = message.target;
    send_to(out, target->endpoint, std::move(ping));
}

void membership::accept_ack(sends& out, gossip_message const& message)
{
    if (probe_ && message.sequence == probe_->sequence &&
        message.target == probe_->target)
    {
        probe_.reset();
        return;
    }
    auto const relayed = relayed_probes_.find(message.sequence);
    if (relayed == relayed_probes_.end())
        return;
    auto answer = make_message(gossip_kind::ack);
    answer.sequence = relayed->second.requester_sequence;
    answer.target = message.target;
    send_to(out, relayed->second.requester, std::move(answer));
    relayed_probes_.erase(relayed);
}

} // namespace pollenhall
