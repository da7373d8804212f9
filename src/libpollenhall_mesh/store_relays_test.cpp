// Tests which nodes of a zone watch the store and which poll relays. Guards
// against a load on the store that grows with the number of hosts, and against
// nodes that receive no changes because their relays fail.

#include <pollenhall/mesh/store_relays.hpp>

#include <doctest/doctest.h>

#include <set>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

mono_time const start{seconds{100}};

std::vector<host_entry> make_zone(int hosts)
{
    std::vector<host_entry> entries;
    entries.reserve(static_cast<std::size_t>(hosts) + 1);
    for (int i = 0; i < hosts; ++i)
        entries.push_back({.host = host_address("10.0.0." + std::to_string(i)),
                           .zone = zone_name("z"),
                           .ready = true});
    entries.push_back({.host = host_address("10.0.1.1"),
                       .zone = zone_name("elsewhere"),
                       .ready = true});
    return entries;
}

store_relays make_relays(std::vector<host_entry> const& hosts, int number)
{
    store_relays relays(
        {.own_zone = zone_name("z"), .own_host = hosts[number].host});
    relays.set_hosts(hosts);
    return relays;
}

/// Number of the first `count` hosts that watch the store.
int count_watchers(std::vector<host_entry> const& hosts, int count)
{
    int watchers = 0;
    for (int i = 0; i < count; ++i)
        if (!make_relays(hosts, i).choose(start))
            ++watchers;
    return watchers;
}

} // namespace

TEST_CASE("in a zone")
{
    SUBCASE("two hosts watch the store if there are 4 or 20")
    {
        CHECK(count_watchers(make_zone(4), 4) == 2);
        CHECK(count_watchers(make_zone(20), 20) == 2);
    }
    SUBCASE("one host in 24 watches the store if there are many")
    {
        CHECK(count_watchers(make_zone(240), 240) == 10);
    }
    SUBCASE("a single host watches the store")
    {
        CHECK(count_watchers(make_zone(1), 1) == 1);
    }
    SUBCASE("the other hosts poll the relays in turn")
    {
        auto const hosts = make_zone(20);
        std::set<host_address> polled;
        std::set<host_address> default_relays;
        for (int i = 0; i < 20; ++i)
        {
            auto relays = make_relays(hosts, i);
            if (relays.is_default_relay())
                default_relays.insert(hosts[i].host);
            for (int turn = 0; turn < 2; ++turn)
                if (auto const peer = relays.choose(start))
                    polled.insert(*peer);
        }
        CHECK(polled.size() == 2);
        CHECK(polled == default_relays);
    }
}

TEST_CASE("all hosts in a single zone")
{
    auto hosts = make_zone(20);
    hosts.pop_back();
    // Two may be cut off from the store at the same time.
    CHECK(count_watchers(hosts, 20) == 3);
}

TEST_CASE("relays poll each other")
{
    auto hosts = make_zone(20);
    hosts.push_back({.host = host_address("10.0.1.2"),
                     .zone = zone_name("elsewhere"),
                     .ready = true});
    std::set<host_address> relays_of_zone;
    for (int i = 0; i < 20; ++i)
        if (make_relays(hosts, i).is_default_relay())
            relays_of_zone.insert(hosts[i].host);
    REQUIRE(relays_of_zone.size() == 2);

    for (int i = 0; i < 20; ++i)
    {
        auto relays = make_relays(hosts, i);
        if (!relays.is_default_relay())
        {
            CHECK_FALSE(relays.choose_other_relay(start).has_value());
            continue;
        }
        auto expected = relays_of_zone;
        expected.erase(hosts[i].host);
        expected.insert(host_address("10.0.1.1"));
        expected.insert(host_address("10.0.1.2"));
        std::set<host_address> polled;
        for (int turn = 0; turn < 3; ++turn)
            polled.insert(*relays.choose_other_relay(start));
        CHECK(polled == expected);

        relays.on_failure(host_address("10.0.1.1"), start);
        relays.set_hosts(hosts);
        for (int turn = 0; turn < 4; ++turn)
            CHECK(relays.choose_other_relay(start) != host_address("10.0.1.1"));
        CHECK_FALSE(make_relays({hosts[i]}, 0).choose_other_relay(start));
    }
}

TEST_CASE("each host of a zone is assigned to one relay")
{
    auto const hosts = make_zone(20);
    std::multiset<host_address> assigned;
    for (int i = 0; i < 20; ++i)
        for (auto const& host : make_relays(hosts, i).assigned_hosts())
            assigned.insert(host);
    // A relay is not assigned to itself, so up to two hosts are missing.
    CHECK(assigned.size() >= 18);
    CHECK(std::set(assigned.begin(), assigned.end()).size() == assigned.size());
}

TEST_CASE("a node whose relays fail")
{
    auto const hosts = make_zone(20);
    int number = 0;
    while (make_relays(hosts, number).is_default_relay())
        ++number;
    auto relays = make_relays(hosts, number);
    auto const first = *relays.choose(start);
    relays.on_failure(first, start);

    SUBCASE("polls another relay than the one that failed")
    {
        for (int turn = 0; turn < 4; ++turn)
        {
            auto const next = relays.choose(start + milliseconds{100});
            CHECK(next != first);
        }
    }
    SUBCASE("verifies the others before it waits for their changes")
    {
        auto const second = *relays.choose(start);
        REQUIRE(second != first);
        CHECK(relays.must_verify(second));
        relays.on_response(second);
        CHECK_FALSE(relays.must_verify(second));
        // Also the one that failed, when it is polled again.
        CHECK(relays.must_verify(first));
    }
    SUBCASE("watches the store after all relays have failed")
    {
        for (int i = 0; i < 20; ++i)
            if (auto const next = relays.choose(start))
                relays.on_failure(*next, start);
        CHECK_FALSE(relays.choose(start).has_value());
        SUBCASE("and polls relays again after the pause")
        {
            CHECK(relays.choose(start + seconds{1}).has_value());
        }
    }
    SUBCASE("keeps the pause of a relay when the hosts change")
    {
        auto fewer = hosts;
        fewer.pop_back();
        relays.set_hosts(fewer);
        CHECK(relays.choose(start) != first);
    }
}
