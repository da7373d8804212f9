// Runs several membership tables over a simulated network with loss, delay and
// partitions. Guards against tables that do not converge once the network works
// again, and against the return of a dead process.

#include <pollenhall/membership.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace
{

using namespace pollenhall;

peer_info make_info(int number, std::int64_t boot, int zones)
{
    peer_info info;
    info.node = node_id("node-" + std::to_string(number));
    info.boot = boot_id(boot);
    info.endpoint = {.address = "127.0.0.1", .port = 10'000 + number};
    info.zone = zone_name("zone-" + std::to_string(number % zones));
    return info;
}

/// Several nodes on one simulated network.
class gossip_network
{
public:
    gossip_network(int nodes, std::uint64_t seed, int zones = 3)
        : zones_(zones), random_(seed)
    {
        for (int i = 0; i < nodes; ++i)
            start(i, 1);
    }

    void start(int number, std::int64_t boot)
    {
        membership_options options;
        options.seed = random_();
        auto info = make_info(number, boot, zones_);
        auto item = std::make_unique<membership>(info, options);
        item->add_seeds({{"127.0.0.1", 10'000}, {"127.0.0.1", 10'001}});
        members_[info.endpoint.port] = std::move(item);
    }

    void stop(int number) { members_.erase(10'000 + number); }

    /// Advances the time; each message is delayed by up to 100 ms.
    void run(milliseconds time)
    {
        constexpr milliseconds step{20};
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            for (auto& [port, item] : members_)
                send(port, item->tick(now_));
            deliver_due();
        }
    }

    membership& at(int number) { return *members_.at(10'000 + number); }

    /// Gossips a suspicion from a node, as after a crash of its upstream.
    void report(int number, crash_suspicion const& suspicion)
    {
        auto const port = 10'000 + number;
        known_suspicions[port].insert(suspicion.content);
        send(port, at(number).gossip_suspicions({suspicion}, now_));
    }

    /// Number of nodes that know a suspicion.
    [[nodiscard]] std::ptrdiff_t count_knowing(fingerprint content) const
    {
        return std::count_if(known_suspicions.begin(), known_suspicions.end(),
                             [&](auto const& item)
                             { return item.second.contains(content); });
    }

    void send(int from, std::vector<gossip_send> messages)
    {
        for (auto& item : messages)
        {
            ++sent;
            largest_updates =
                std::max(largest_updates, item.message.updates.size());
            if (static_cast<int>(random_() % 100) < loss_percent ||
                is_partitioned(from, item.to.port))
                continue;
            auto const wait =
                milliseconds(static_cast<std::int64_t>(random_() % 100));
            in_flight_.emplace(now_ + wait, std::pair(from, std::move(item)));
        }
    }

    /// Whether each running node sees exactly the other running nodes as alive.
    bool has_converged()
    {
        return std::all_of(members_.begin(), members_.end(),
                           [&](auto const& item)
                           { return is_accurate(*item.second); });
    }

    [[nodiscard]] mono_time now() const { return now_; }

    int loss_percent = 0;
    /// Ports below this one cannot reach the others; 0 for no partition.
    int partition_port = 0;
    /// Fingerprints of the suspicions that each node has received, by its port.
    std::map<int, std::set<fingerprint>> known_suspicions;
    std::size_t sent = 0;
    std::size_t largest_updates = 0;

private:
    bool is_partitioned(int from, int to) const
    {
        return partition_port != 0 &&
               (from < partition_port) != (to < partition_port);
    }

    bool is_accurate(membership const& item) const
    {
        std::size_t alive = 0;
        for (auto const& peer : item.peers())
        {
            bool const runs = members_.contains(peer.endpoint.port);
            bool const is_alive = peer.life == peer_liveness::alive;
            if (runs != is_alive)
                return false;
            alive += is_alive ? 1 : 0;
        }
        return alive == members_.size() - 1;
    }

    void deliver_due()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_)
        {
            auto const [from, item] = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            auto const target = members_.find(item.to.port);
            if (target == members_.end())
                continue;
            send(item.to.port, target->second->receive(
                                   item.message, {"127.0.0.1", from}, now_));
            for (auto const& suspicion :
                 target->second->take_received_suspicions())
                known_suspicions[item.to.port].insert(suspicion.content);
        }
    }

    int zones_;
    std::mt19937_64 random_;
    mono_time now_{seconds{1}};
    std::map<int, std::unique_ptr<membership>> members_;
    std::multimap<mono_time, std::pair<int, gossip_send>> in_flight_;
};

} // namespace

TEST_CASE("peers that start with two seed addresses")
{
    gossip_network network(12, 5);
    network.run(seconds{15});
    REQUIRE(network.has_converged());

    SUBCASE("detect a dead peer and keep the others alive")
    {
        network.stop(7);
        network.run(seconds{25});
        CHECK(network.has_converged());
    }
    SUBCASE("learn of a departed peer within three seconds")
    {
        network.send(10'007, network.at(7).leave(network.now()));
        network.stop(7);
        network.run(seconds{3});
        CHECK(network.has_converged());
    }
    SUBCASE("replace the record of a restarted peer")
    {
        network.stop(7);
        network.start(7, 2);
        network.run(seconds{15});
        CHECK(network.has_converged());
        CHECK(network.at(3).find(node_id("node-7"))->boot == boot_id(2));
    }
    SUBCASE("learn of a draining upstream within three seconds")
    {
        network.send(10'007,
                     network.at(7).set_upstream(service_name("orders"),
                                                state_code(3), network.now()));
        network.run(seconds{3});
        for (int i = 0; i < 12; ++i)
        {
            if (i == 7)
                continue;
            CHECK(network.at(i).find(node_id("node-7"))->upstream_state ==
                  state_code(3));
        }
    }
    SUBCASE("converge after a partition of three minutes")
    {
        network.partition_port = 10'006;
        network.run(seconds{180});
        CHECK_FALSE(network.has_converged());
        network.partition_port = 0;
        network.run(seconds{60});
        CHECK(network.has_converged());
    }
    SUBCASE("send few datagrams when a partition heals")
    {
        network.sent = 0;
        network.run(seconds{10});
        auto const sent_before = network.sent;
        network.partition_port = 10'006;
        network.run(seconds{60});
        network.partition_port = 0;
        network.sent = 0;
        network.run(seconds{10});
        CHECK(network.sent <= sent_before * 6);
    }
}

TEST_CASE("the loss of a zone is distinguished from single failures")
{
    // Zone 0 has the nodes 0, 3, 6 and 9; all of them stop at the same time.
    gossip_network network(12, 9);
    network.run(seconds{15});
    REQUIRE(network.has_converged());
    for (int const stopped : {0, 3, 6, 9})
        network.stop(stopped);
    network.run(seconds{25});
    int suspect_count = 0;
    for (int const stopped : {0, 3, 6, 9})
    {
        auto const* const info =
            network.at(1).find(node_id("node-" + std::to_string(stopped)));
        REQUIRE(info != nullptr);
        suspect_count += info->life == peer_liveness::suspect ? 1 : 0;
    }
    CHECK(suspect_count >= 3);
    for (int const stopped : {0, 3, 6, 9})
        network.start(stopped, 2);
    network.run(seconds{20});
    CHECK(network.has_converged());
}

TEST_CASE("peers converge after arbitrary network faults")
{
    CHECK(rc::check(
        "tables converge and no dead process returns",
        []
        {
            gossip_network network(6, *rc::gen::arbitrary<std::uint64_t>());
            network.loss_percent = *rc::gen::inRange(0, 40);
            std::map<int, std::int64_t> boots;
            auto const events = *rc::gen::inRange(1, 8);
            for (int i = 0; i < events; ++i)
            {
                auto const number = *rc::gen::inRange(2, 6);
                network.run(seconds{*rc::gen::inRange(1, 12)});
                if (*rc::gen::arbitrary<bool>())
                {
                    boots[number] += 1;
                    network.start(number, boots[number] + 1);
                }
                else
                    network.partition_port = 10'000 + *rc::gen::inRange(0, 6);
            }
            network.partition_port = 0;
            network.loss_percent = 0;
            network.run(seconds{120});
            RC_ASSERT(network.has_converged());
            for (auto const& [number, boot] : boots)
            {
                auto const* const info = network.at(0).find(
                    node_id("node-" + std::to_string(number)));
                RC_ASSERT(info != nullptr);
                RC_ASSERT(info->boot == boot_id(boot + 1));
            }
            RC_ASSERT(network.largest_updates <=
                      membership_options{}.max_updates + 1);
        }));
}

TEST_CASE("an upstream update is accepted while its node is suspected")
{
    membership item(make_info(1, 1, 1), {});
    gossip_message message;
    message.sender = make_info(2, 1, 1);
    auto suspected = make_info(3, 1, 1);
    suspected.life = peer_liveness::suspect;
    message.updates = {suspected};
    item.receive(message, {"127.0.0.1", 10'002}, mono_time{});
    auto draining = make_info(3, 1, 1);
    draining.upstream_state = state_code(3);
    draining.version = 1;
    message.updates = {draining};
    item.receive(message, {"127.0.0.1", 10'002}, mono_time{});
    CHECK(item.find(node_id("node-3"))->upstream_state == state_code(3));
}

TEST_CASE("a process keeps its name after its clock went back")
{
    membership item(make_info(1, 100, 1), {});
    gossip_message message;
    message.sender = make_info(2, 1, 1);
    auto previous = make_info(1, 500, 1);

    SUBCASE("if the record with the newer boot id has the same endpoint")
    {
        message.updates = {previous};
        item.receive(message, {"127.0.0.1", 10'002}, mono_time{});
        CHECK(item.self().boot == boot_id(501));
        CHECK_FALSE(item.is_superseded());
    }
    SUBCASE("but not if a newer process runs at another endpoint")
    {
        previous.endpoint.port = 9;
        message.updates = {previous};
        item.receive(message, {"127.0.0.1", 10'002}, mono_time{});
        CHECK(item.is_superseded());
    }
}

TEST_CASE("a node that missed the gossip of a crash suspicion learns of it")
{
    constexpr int nodes = 12;
    // Time in which all nodes must know a crash.
    constexpr seconds spread_time{3};
    gossip_network network(nodes, 7);
    network.run(seconds{20});
    crash_suspicion const seen{.content = fingerprint(7),
                               .crash = crash_id(8),
                               .time_left = seconds{600}};

    SUBCASE("after a short network partition")
    {
        network.partition_port = 10'003;
        network.report(0, seen);
        network.run(seconds{2});
        network.partition_port = 0;
    }
    SUBCASE("after a long network partition")
    {
        network.partition_port = 10'003;
        network.report(0, seen);
        network.run(seconds{30});
        network.partition_port = 0;
    }
    SUBCASE("although its links lose most messages")
    {
        network.loss_percent = 90;
        network.report(0, seen);
        network.run(seconds{10});
        network.loss_percent = 0;
    }
    SUBCASE("although its process has only started since")
    {
        network.report(0, seen);
        network.run(seconds{5});
        network.known_suspicions.erase(10'005);
        network.stop(5);
        network.start(5, 2);
    }
    network.run(spread_time);
    CHECK(network.count_knowing(seen.content) == nodes);
}

TEST_CASE("a peer that does not know all crash suspicions is told")
{
    membership node(make_info(0, 1, 1), {});
    mono_time const now{seconds{1}};
    crash_suspicion const seen{.content = fingerprint(7),
                               .crash = crash_id(8),
                               .time_left = seconds{600}};
    node.gossip_suspicions({seen}, now);
    // Pings the node as a process that knows the suspicions with this hash.
    auto const contact = [&](std::optional<std::uint64_t> hash, mono_time at,
                             gossip_kind kind = gossip_kind::ping)
    {
        gossip_message message;
        message.kind = kind;
        message.sender = make_info(1, 1, 1);
        message.target = node_id("node-0");
        message.suspicion_hash = hash;
        std::pair<std::vector<crash_suspicion>, std::uint64_t> told;
        for (auto const& item :
             node.receive(message, message.sender.endpoint, at))
        {
            told.first.insert(told.first.end(), item.message.suspicions.begin(),
                              item.message.suspicions.end());
            told.second = item.message.suspicion_hash.value();
        }
        return told;
    };
    // The queue for gossip is empty after a few messages.
    for (int i = 0; i < 5; ++i)
        contact(std::nullopt, now);
    auto const [told, hash] = contact(0, now + seconds{100});
    REQUIRE(told.size() == 1);
    CHECK(told[0].content == seen.content);
    CHECK(told[0].time_left == seconds{500});

    SUBCASE("once")
    {
        CHECK(contact(hash, now + seconds{101}).first.empty());
    }
    SUBCASE("and so is the next process of its node")
    {
        CHECK_FALSE(contact(0, now + seconds{101}).first.empty());
    }
    SUBCASE("unless they have expired")
    {
        CHECK(contact(0, now + seconds{601}).first.empty());
    }
    SUBCASE("but not in reply to a rumour, whose sender may know them by now")
    {
        CHECK(
            contact(0, now + seconds{101}, gossip_kind::rumour).first.empty());
    }
    SUBCASE("but not if its version does not compare them")
    {
        CHECK(contact(std::nullopt, now + seconds{101}).first.empty());
    }
    SUBCASE("at a bounded rate")
    {
        CHECK(contact(0, now + milliseconds{100'050}).first.empty());
    }
}

TEST_CASE("crash suspicions for a peer that knows none of them")
{
    suspicion_gossip known({.max_known = 100, .max_per_sync = 10});
    mono_time const now{seconds{1}};
    std::mt19937_64 random(1);
    auto const add = [&](std::uint64_t content, std::uint64_t crash)
    {
        return known.add({.content = fingerprint(content),
                          .crash = crash_id(crash),
                          .time_left = seconds{600}},
                         3, now);
    };
    for (std::uint64_t i = 0; i < 40; ++i)
        CHECK(add(100 + i, 1));
    CHECK(add(7, 1));
    CHECK(add(7, 2));

    SUBCASE("begin with those of a request that ran at several crashes")
    {
        auto const first = known.for_sync(random, now);
        REQUIRE(first.size() == 10);
        CHECK(first[0].content == fingerprint(7));
        CHECK(first[1].content == fingerprint(7));
    }
    SUBCASE("are all sent in the end")
    {
        suspicion_gossip peer;
        int rounds = 0;
        for (; peer.hash(now) != known.hash(now) && rounds < 100; ++rounds)
            for (auto const& item : known.for_sync(random, now))
                peer.add(item, 3, now);
        CHECK(rounds < 100);
    }
    SUBCASE("are not accepted beyond the limit")
    {
        for (std::uint64_t i = 0; i < 58; ++i)
            CHECK(add(500 + i, 3));
        CHECK_FALSE(add(999, 3));
    }
    SUBCASE("are gossiped in turn")
    {
        std::set<fingerprint> sent;
        for (int i = 0; i < 3; ++i)
            for (auto const& item : known.take_queued(now))
                sent.insert(item.content);
        CHECK(sent.size() == 41);
    }
}
