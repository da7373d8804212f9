// Tests the choice of an upstream. Guards against sending work to upstreams
// that fail fast, drain or cannot be reached, and against a thundering herd
// when many nodes choose from the same outdated report.

#include <pollenhall/mesh/placement.hpp>

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

host_entry make_host(char const* address, char const* zone)
{
    return {.host = host_address(address),
            .gate_port = 1,
            .zone = zone_name(zone),
            .service = service_name("leaf"),
            .incarnation = incarnation_id(address),
            .slots = 40,
            .ready = true};
}

constexpr mono_time now{seconds{100}};
service_name const leaf("leaf");
constexpr milliseconds useful{300};

/// Chooses an upstream for each of `calls` and returns the calls per host.
std::map<std::string, int> distribute(placement& upstreams, int calls,
                                      bool outstanding, mono_time at = now)
{
    std::map<std::string, int> calls_by_host;
    std::mt19937_64 random(1);
    for (int i = 0; i < calls; ++i)
        if (auto const* host = upstreams.choose(
                {.service = leaf, .useful_time = useful}, {}, random(), at))
        {
            ++calls_by_host[host->host.value()];
            if (outstanding)
                upstreams.on_sent(host->host);
        }
    return calls_by_host;
}

} // namespace

TEST_CASE("the choice of an upstream")
{
    placement upstreams(
        {.own_zone = zone_name("z1"), .own_host = host_address("o")});
    upstreams.set_hosts(
        {make_host("a", "z1"), make_host("b", "z2"), make_host("c", "z3")},
        now);

    SUBCASE("uses an upstream of a stopping node only if others are away")
    {
        auto stopping = make_host("a", "z1");
        stopping.stopping = true;
        upstreams.set_hosts({stopping, make_host("b", "z2")}, now);
        CHECK(distribute(upstreams, 20, false)["a"] == 0);
        upstreams.on_unreachable(host_address("b"), now);
        CHECK(distribute(upstreams, 20, false)["a"] == 20);
    }
    SUBCASE("uses an upstream of a stopping node if others are overloaded")
    {
        auto stopping = make_host("a", "z1");
        stopping.stopping = true;
        upstreams.set_hosts({stopping, make_host("b", "z2")}, now);
        auto const calls = distribute(upstreams, 100, true);
        CHECK(calls.at("b") > 60);
        CHECK(calls.at("a") > 10);
    }
    SUBCASE("stays in the own zone until its upstream is busy")
    {
        CHECK(distribute(upstreams, 10, true)["a"] == 10);
        auto const calls_by_host = distribute(upstreams, 100, true);
        CHECK(calls_by_host.at("b") > 20);
        CHECK(calls_by_host.at("c") > 20);
    }
    SUBCASE("avoids an upstream that fails fast, although it has few calls")
    {
        upstreams.on_load_report(host_address("a"),
                                 {.limit = 40,
                                  .running = 1,
                                  .failure_fraction = 0.5,
                                  .service_ms = 5},
                                 now);
        CHECK(distribute(upstreams, 50, false)["a"] == 0);

        SUBCASE("until the report of failures has decayed")
        {
            CHECK(distribute(upstreams, 50, false, now + seconds{10})["a"] ==
                  50);
        }
    }
    SUBCASE("skips an unreachable upstream, for longer after each failure")
    {
        upstreams.on_unreachable(host_address("a"), now);
        CHECK(distribute(upstreams, 10, false, now + milliseconds{50})["a"] ==
              0);
        CHECK(distribute(upstreams, 10, false, now + milliseconds{150})["a"] ==
              10);
        upstreams.on_unreachable(host_address("a"), now);
        CHECK(distribute(upstreams, 10, false, now + milliseconds{150})["a"] ==
              0);

        SUBCASE("until the host has another incarnation")
        {
            auto replaced = make_host("a", "z1");
            replaced.incarnation = incarnation_id("a2");
            upstreams.set_hosts({replaced}, now);
            CHECK(distribute(upstreams, 10, false)["a"] == 10);
        }
    }
    SUBCASE("skips a draining upstream, and returns null if all are excluded")
    {
        auto draining = make_host("a", "z1");
        draining.ready = false;
        upstreams.set_hosts({draining, make_host("b", "z2")}, now);
        CHECK(distribute(upstreams, 10, false)["b"] == 10);
        CHECK(upstreams.choose({.service = leaf, .useful_time = useful},
                               {host_address("b")}, 1, now) == nullptr);
    }
    SUBCASE("considers the load by other nodes until the report has decayed")
    {
        upstreams.on_load_report(host_address("a"),
                                 {.limit = 40, .running = 38, .service_ms = 25},
                                 now);
        CHECK(distribute(upstreams, 10, false)["a"] == 0);
        CHECK(distribute(upstreams, 10, false, now + seconds{3})["a"] == 10);
    }
}

TEST_CASE("upstreams of unequal speed")
{
    placement upstreams(
        {.own_zone = zone_name("z1"), .own_host = host_address("o")});
    upstreams.set_hosts({make_host("slow", "z1"), make_host("fast", "z2")},
                        now);
    upstreams.on_load_report(host_address("slow"),
                             {.limit = 40, .service_ms = 400}, now);
    upstreams.on_load_report(host_address("fast"),
                             {.limit = 40, .service_ms = 175}, now);
    auto const chosen = [&](milliseconds time, bool retryable)
    {
        placement_need const need{
            .service = leaf, .useful_time = time, .retryable = retryable};
        return upstreams.choose(need, {}, 1, now)->host.value();
    };

    SUBCASE("send a single-attempt call with little time to the fast one")
    {
        CHECK(chosen(milliseconds(800), false) == "fast");
    }
    SUBCASE("send a call with much time, or with a retry, to the own zone")
    {
        CHECK(chosen(milliseconds(3'000), false) == "slow");
        CHECK(chosen(milliseconds(800), true) == "slow");
    }
    SUBCASE("send all calls to the fast one if the other becomes very slow")
    {
        upstreams.on_load_report(host_address("slow"),
                                 {.limit = 40, .service_ms = 4'000}, now);
        CHECK(chosen(milliseconds(3'000), true) == "fast");
    }
}

TEST_CASE("nodes with the same outdated report do not all choose one upstream")
{
    // Twelve nodes with the same outdated report send 240 calls at once.
    std::map<std::string, int> calls_by_host;
    for (int node = 0; node < 12; ++node)
    {
        placement upstreams({.own_zone = zone_name("elsewhere"),
                             .own_host = host_address("o")});
        upstreams.set_hosts(
            {make_host("a", "z1"), make_host("b", "z2"), make_host("c", "z3")},
            now);
        std::mt19937_64 random(static_cast<std::uint64_t>(node));
        for (int i = 0; i < 20; ++i)
        {
            auto const* host = upstreams.choose(
                {.service = leaf, .useful_time = useful}, {}, random(), now);
            upstreams.on_sent(host->host);
            ++calls_by_host[host->host.value()];
        }
    }
    for (auto const& [host, calls] : calls_by_host)
        CHECK(calls < 240 / 2);
}
