// Tests route lookup and the split of traffic. Guards against a route that
// matches a longer host or path than it should, and against a fraction of
// traffic that deviates from the weights.

#include <pollenhall/mesh/configuration.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

route make_route(char const* name, char const* host, char const* prefix)
{
    return {.name = route_name(name),
            .host = host,
            .prefix = prefix,
            .parts = {{.service = service_name(name)}}};
}

} // namespace

TEST_CASE("a route table")
{
    route_table const table(
        {.version = config_version(3),
         .routes = {make_route("wide", "a.example", "/x/"),
                    make_route("narrow", "a.example", "/x/y/"),
                    make_route("other", "b.example", "/x/")}});
    auto const name = [&](char const* host, char const* path)
    {
        auto const* found = table.find(host, path);
        return found == nullptr ? std::string("none") : found->name.value();
    };

    SUBCASE("finds the longest prefix of the host")
    {
        CHECK(name("a.example", "/x/y/z") == "narrow");
        CHECK(name("a.example", "/x/z") == "wide");
        CHECK(name("b.example", "/x/y/z") == "other");
    }
    SUBCASE("ignores the port and case of the host and the query")
    {
        CHECK(name("A.Example:80", "/x/") == "wide");
        CHECK(name("a.example", "/x?/y/") == "none");
    }
    SUBCASE("returns null for another host or path")
    {
        CHECK(name("c.example", "/x/") == "none");
        CHECK(name("a.example", "/x") == "none");
        CHECK(name("a.example", "/xy/") == "none");
    }
}

TEST_CASE("split traffic follows the weights in any sequence of requests")
{
    CHECK(rc::check(
        []
        {
            auto split = make_route("r", "a", "/");
            split.parts.clear();
            auto const parts = *rc::gen::inRange(2, 5);
            double total = 0;
            for (int i = 0; i < parts; ++i)
            {
                auto const weight = *rc::gen::inRange(1, 100);
                total += weight;
                split.parts.push_back(
                    {.service = service_name(std::to_string(i)),
                     .weight = static_cast<double>(weight)});
            }
            weighted_round_robin round_robin;
            std::map<service_name, int> calls_by_service;
            auto const requests = *rc::gen::inRange(1, 400);
            for (int i = 0; i < requests; ++i)
                ++calls_by_service[round_robin.next(split)];
            for (auto const& part : split.parts)
                RC_ASSERT(std::abs(calls_by_service[part.service] -
                                   requests * part.weight / total) <= parts);
        }));

    SUBCASE("and also after the weights change")
    {
        auto split = make_route("r", "a", "/");
        split.parts = {{.service = service_name("a"), .weight = 90},
                       {.service = service_name("b"), .weight = 10}};
        weighted_round_robin round_robin;
        for (int i = 0; i < 7; ++i)
            round_robin.next(split);
        split.parts[0].weight = 50;
        split.parts[1].weight = 50;
        int first = 0;
        for (int i = 0; i < 100; ++i)
            first += round_robin.next(split) == service_name("a") ? 1 : 0;
        CHECK(first == 50);
    }
}
