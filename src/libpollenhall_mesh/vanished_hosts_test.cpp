// Tests when the entry of a host may be removed. Guards against removing a host
// that is unreachable only for a short time, or that was probed only a few
// times.

#include <pollenhall/mesh/vanished_hosts.hpp>

#include <doctest/doctest.h>

#include <set>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

mono_time at(std::int64_t s)
{
    return mono_time(seconds(1'000 + s));
}

std::vector<host_address> const hosts{host_address("10.0.0.1"),
                                      host_address("10.0.0.2"),
                                      host_address("10.0.0.3")};

} // namespace

TEST_CASE("all hosts are probed in turn")
{
    vanished_hosts watched({});
    std::set<host_address> probed;
    for (int i = 0; i < 3; ++i)
        probed.insert(*watched.next(hosts, at(i)));
    CHECK(probed.size() == 3);
    CHECK_FALSE(watched.next({}, at(4)).has_value());
}

TEST_CASE("a host that does not respond")
{
    vanished_hosts watched(
        {.removal_timeout = seconds{600}, .min_failures = 3});
    auto const& host = hosts.front();
    watched.next(hosts, at(0));
    CHECK_FALSE(watched.on_probe(host, false, at(0)));
    CHECK_FALSE(watched.on_probe(host, false, at(300)));

    SUBCASE("is removed after ten minutes")
    {
        CHECK(watched.on_probe(host, false, at(600)));
    }
    SUBCASE("is not removed before")
    {
        CHECK_FALSE(watched.on_probe(host, false, at(599)));
    }
    SUBCASE("is not removed if it has responded in between")
    {
        CHECK_FALSE(watched.on_probe(host, true, at(400)));
        CHECK_FALSE(watched.on_probe(host, false, at(700)));
        CHECK_FALSE(watched.on_probe(host, false, at(1'299)));
    }
    SUBCASE("is not removed after too few probes")
    {
        vanished_hosts few_probes({.min_failures = 3});
        few_probes.next(hosts, at(0));
        CHECK_FALSE(few_probes.on_probe(host, false, at(0)));
        CHECK_FALSE(few_probes.on_probe(host, false, at(700)));
    }
}
