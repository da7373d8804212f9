// Tests of departures that peers keep while the store cannot be reached. They
// guard against an upstream that gets calls again because its node has
// forgotten, with its process, that the upstream leaves.

#include <pollenhall/mesh/departures.hpp>

#include <doctest/doctest.h>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

host_entry make_entry(std::string const& host)
{
    return {.host = host_address(host),
            .incarnation = incarnation_id("i-" + host),
            .started = wall_time(milliseconds{100}),
            .ready = true};
}

std::map<host_address, host_entry> make_hosts(int count)
{
    std::map<host_address, host_entry> hosts;
    for (int i = 1; i <= count; ++i)
    {
        auto const entry = make_entry(std::to_string(i));
        hosts.emplace(entry.host, entry);
    }
    return hosts;
}

} // namespace

TEST_CASE("a departure is contained in an entry")
{
    auto stored = make_entry("1");
    auto departing = stored;

    SUBCASE("that has left, once it has left")
    {
        departing.left = true;
        CHECK_FALSE(contains_departure(stored, departing));
        stored.draining = true;
        CHECK_FALSE(contains_departure(stored, departing));
        stored.left = true;
        CHECK(contains_departure(stored, departing));
    }
    SUBCASE("that drains or has left, while it drains")
    {
        departing.draining = true;
        CHECK_FALSE(contains_departure(stored, departing));
        stored.left = true;
        CHECK(contains_departure(stored, departing));
    }
    SUBCASE("of a later start only")
    {
        departing.left = true;
        stored.incarnation = incarnation_id("i-2");
        CHECK_FALSE(contains_departure(stored, departing));
        stored.started = wall_time(milliseconds{200});
        CHECK(contains_departure(stored, departing));
        stored.started = wall_time(milliseconds{50});
        stored.left = true;
        CHECK_FALSE(contains_departure(stored, departing));
    }
}

// Guards against an entry of an earlier era of the store that is used in place
// of one that the host has written since.
TEST_CASE("an entry is written after another by the same host")
{
    auto const known = make_entry("1");
    auto entry = known;
    auto const is_later = [&]
    {
        // Never in both directions.
        CHECK_FALSE(is_written_after(known, entry));
        return is_written_after(entry, known);
    };

    SUBCASE("if it is of a later start of the node")
    {
        entry.boot = boot_id(1);
        entry.started.reset();
        CHECK(is_later());
    }
    SUBCASE("if it is of a later start of the upstream")
    {
        entry.started = wall_time(milliseconds{101});
        CHECK(is_later());
        entry.incarnation = incarnation_id("i-2");
        CHECK(is_later());
    }
    SUBCASE("if it follows a later heartbeat")
    {
        entry.sequence = 1;
        CHECK(is_later());
    }
    SUBCASE("if only there the upstream drains or has left, or the node stops")
    {
        SUBCASE("it drains")
        {
            entry.draining = true;
        }
        SUBCASE("it has left")
        {
            entry.left = true;
        }
        SUBCASE("it stops")
        {
            entry.stopping = true;
        }
        CHECK(is_later());
    }
    SUBCASE("unless the entries do not tell")
    {
        CHECK_FALSE(is_later());
        SUBCASE("as the start times of two upstreams are not known")
        {
            entry.incarnation = incarnation_id("i-2");
            entry.started.reset();
            entry.sequence = 1;
        }
        SUBCASE("as they differ in what may change in both directions")
        {
            entry.slots = 7;
        }
        CHECK_FALSE(is_later());
    }
}

TEST_CASE("a node asks peers to hold a departure")
{
    departure_replicas replicas({.own_host = host_address("1")});
    auto hosts = make_hosts(6);

    SUBCASE("until two of them do")
    {
        auto const asked = replicas.next_peers(hosts);
        REQUIRE(asked.size() == 3);
        CHECK(replicas.next_peers(hosts).empty());
        replicas.on_held(asked[0]);
        CHECK_FALSE(replicas.is_held(hosts));
        replicas.on_held(asked[1]);
        CHECK(replicas.is_held(hosts));
    }
    SUBCASE("other ones after a failure, and the same again in the end")
    {
        std::set<host_address> asked;
        for (int round = 0; round < 2; ++round)
            for (auto const& peer : replicas.next_peers(hosts))
            {
                CHECK(asked.insert(peer).second);
                replicas.on_failure(peer);
            }
        CHECK(asked.size() == 5);
        CHECK_FALSE(asked.contains(host_address("1")));
        CHECK(replicas.next_peers(hosts).size() == 3);
    }
    SUBCASE("but none that stop")
    {
        for (auto& [host, entry] : hosts)
            entry.stopping = host != host_address("4");
        auto const asked = replicas.next_peers(hosts);
        REQUIRE(asked.size() == 1);
        CHECK(asked[0] == host_address("4"));
        replicas.on_held(asked[0]);
        CHECK(replicas.is_held(hosts));
    }
    SUBCASE("and has none if it knows no peer")
    {
        CHECK(replicas.next_peers(make_hosts(1)).empty());
        CHECK_FALSE(replicas.is_held(make_hosts(1)));
    }
    SUBCASE("again for the next departure")
    {
        for (auto const& peer : replicas.next_peers(hosts))
            replicas.on_held(peer);
        replicas.reset();
        CHECK_FALSE(replicas.is_held(hosts));
        CHECK(replicas.next_peers(hosts).size() == 3);
    }
}

TEST_CASE("a node keeps the departure of a peer")
{
    departure_keeper keeper({.lifetime = seconds{60}, .max_entries = 2});
    auto stored = make_hosts(3);
    auto departing = make_entry("2");
    departing.left = true;
    keeper.keep(departing, mono_time{});
    REQUIRE(keeper.pending(stored, mono_time{}).size() == 1);

    SUBCASE("until the store has it")
    {
        stored[departing.host].left = true;
        CHECK(keeper.pending(stored, mono_time{}).empty());
        CHECK(keeper.empty());
    }
    SUBCASE("until it is too old to matter")
    {
        CHECK(keeper.pending(stored, mono_time{seconds{59}}).size() == 1);
        CHECK(keeper.pending(stored, mono_time{seconds{60}}).empty());
    }
    SUBCASE("within a bound, of which the oldest gives way")
    {
        for (auto const* host : {"1", "3"})
        {
            auto other = make_entry(host);
            other.draining = true;
            keeper.keep(other, mono_time{seconds{1}});
        }
        auto const pending = keeper.pending(stored, mono_time{seconds{1}});
        REQUIRE(pending.size() == 2);
        CHECK(pending[0].host == host_address("1"));
        CHECK(pending[1].host == host_address("3"));
    }
}
