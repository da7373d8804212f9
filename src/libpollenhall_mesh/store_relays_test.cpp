// Tests whom the nodes of a zone ask for changes of the store.

#include <pollenhall/mesh/store_relays.hpp>

#include <doctest/doctest.h>

#include <set>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

mono_time const start{seconds{100}};

std::vector<host_entry> zone_of(int hosts)
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

store_relays relays_of(std::vector<host_entry> const& hosts, int number)
{
    store_relays relays(
        {.own_zone = zone_name("z"), .own_host = hosts[number].host});
    relays.set_hosts(hosts);
    return relays;
}

int watchers(std::vector<host_entry> const& hosts, int count)
{
    int found = 0;
    for (int i = 0; i < count; ++i)
        if (!relays_of(hosts, i).choose(start))
            ++found;
    return found;
}

} // namespace

TEST_CASE("of the hosts of a zone")
{
    SUBCASE("two ask the store, also where there are twenty")
    {
        CHECK(watchers(zone_of(4), 4) == 2);
        CHECK(watchers(zone_of(20), 20) == 2);
    }
    SUBCASE("the number that asks grows with the zone, a 24th of it")
    {
        CHECK(watchers(zone_of(240), 240) == 10);
    }
    SUBCASE("one that is alone asks the store")
    {
        CHECK(watchers(zone_of(1), 1) == 1);
    }
    SUBCASE("the others ask these two in turn")
    {
        auto const hosts = zone_of(20);
        std::set<host_address> asked;
        std::set<host_address> first_choices;
        for (int i = 0; i < 20; ++i)
        {
            auto relays = relays_of(hosts, i);
            if (relays.is_first_choice())
                first_choices.insert(hosts[i].host);
            for (int turn = 0; turn < 2; ++turn)
                if (auto const peer = relays.choose(start))
                    asked.insert(*peer);
        }
        CHECK(asked.size() == 2);
        CHECK(asked == first_choices);
    }
}

TEST_CASE("each host of a zone is looked after by one relay")
{
    auto const hosts = zone_of(20);
    std::multiset<host_address> looked_after;
    for (int i = 0; i < 20; ++i)
        for (auto const& host : relays_of(hosts, i).looked_after())
            looked_after.insert(host);
    // Relays don't look after themselves, so up to two are missing.
    CHECK(looked_after.size() >= 18);
    CHECK(std::set(looked_after.begin(), looked_after.end()).size() ==
          looked_after.size());
}

TEST_CASE("a node whose relays fail")
{
    auto const hosts = zone_of(20);
    int number = 0;
    while (relays_of(hosts, number).is_first_choice())
        ++number;
    auto relays = relays_of(hosts, number);
    auto const first = *relays.choose(start);
    relays.on_failure(first, start);

    SUBCASE("asks another, not the one that failed")
    {
        for (int turn = 0; turn < 4; ++turn)
        {
            auto const next = relays.choose(start + milliseconds{100});
            CHECK(next != first);
        }
    }
    SUBCASE("asks the store in the end")
    {
        for (int i = 0; i < 20; ++i)
            if (auto const next = relays.choose(start))
                relays.on_failure(*next, start);
        CHECK_FALSE(relays.choose(start).has_value());
        SUBCASE("and peers again after a pause")
        {
            CHECK(relays.choose(start + seconds{1}).has_value());
        }
    }
    SUBCASE("keeps the pause when the hosts change")
    {
        auto fewer = hosts;
        fewer.pop_back();
        relays.set_hosts(fewer);
        CHECK(relays.choose(start) != first);
    }
}
