// Tests load balancing. Guards against upstreams in other zones that get calls
// without being faster, wrong load reports that attract calls, and failures
// that leave a service without an upstream because all are ejected.

#include <pollenhall/router.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

namespace
{

using namespace pollenhall;

std::vector<route_candidate> make_candidates(int count, int own_zone_count)
{
    std::vector<route_candidate> candidates;
    candidates.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        candidates.push_back(
            {.node = node_id("node-" + std::to_string(i)),
             .zone = zone_name(i < own_zone_count ? "own" : "other"),
             .warming_up = false});
    return candidates;
}

router make_router()
{
    router_options options;
    options.own_zone = zone_name("own");
    return router(options);
}

mono_time at_ms(std::int64_t ms)
{
    return mono_time(milliseconds(ms));
}

/// Sends calls one after the other and counts them by node.
std::map<node_id, int>
count_by_node(router& routes, std::vector<route_candidate> const& candidates,
              std::map<node_id, microseconds> const& latencies, int calls)
{
    std::map<node_id, int> counts;
    std::mt19937_64 random(3);
    for (int i = 0; i < calls; ++i)
    {
        auto const now = at_ms(1'000 + i);
        auto const choice =
            routes.choose(candidates, {}, request_rank(0), now, random());
        REQUIRE(choice.node.has_value());
        ++counts[*choice.node];
        routes.on_start(*choice.node, now);
        routes.on_finish(*choice.node, now, latencies.at(*choice.node),
                         route_result::completed);
    }
    return counts;
}

} // namespace

TEST_CASE("the router prefers")
{
    auto routes = make_router();
    auto const candidates = make_candidates(3, 1);
    auto const same_zone = candidates[0].node;
    std::map<node_id, microseconds> latencies{
        {candidates[0].node, microseconds{5'000}},
        {candidates[1].node, microseconds{5'000}},
        {candidates[2].node, microseconds{5'000}}};

    SUBCASE("its own zone if that is not slower")
    {
        auto const counts = count_by_node(routes, candidates, latencies, 600);
        CHECK(counts.at(same_zone) > 600 / 3);
    }
    SUBCASE("other zones if its own is slower by more than the zone latency")
    {
        latencies[same_zone] = microseconds{50'000};
        auto const counts = count_by_node(routes, candidates, latencies, 600);
        CHECK(counts.at(same_zone) < 600 / 5);
    }
}

TEST_CASE("the load that an upstream reports")
{
    auto routes = make_router();
    auto const candidates = make_candidates(2, 2);
    auto const misreporting = candidates[0].node;
    std::map<node_id, microseconds> const latencies{
        {candidates[0].node, microseconds{40'000}},
        {candidates[1].node, microseconds{4'000}}};

    SUBCASE("does not attract more calls than its measured latency")
    {
        count_by_node(routes, candidates, latencies, 100);
        routes.on_hint(misreporting,
                       {.running = 0, .queued = 0, .limit = 1'000},
                       at_ms(1'100));
        auto const counts = count_by_node(routes, candidates, latencies, 400);
        CHECK(counts.at(candidates[1].node) >= 250);
    }
    SUBCASE("is ignored after its lifetime")
    {
        for (auto const& candidate : candidates)
            routes.on_hint(candidate.node,
                           {.limit = 1, .admitted_rank = request_rank(500)},
                           at_ms(0));
        auto const soon =
            routes.choose(candidates, {}, request_rank(0), at_ms(100), 1);
        CHECK_FALSE(soon.node.has_value());
        CHECK(soon.failure == route_failure::shed);
        auto const later =
            routes.choose(candidates, {}, request_rank(0), at_ms(500), 1);
        CHECK(later.node.has_value());
    }
}

TEST_CASE("upstreams with consecutive failures")
{
    auto routes = make_router();
    auto const candidates = make_candidates(6, 6);
    auto const fail = [&](int index, int times)
    {
        auto const& node = candidates[static_cast<std::size_t>(index)].node;
        for (int i = 0; i < times; ++i)
        {
            routes.on_start(node, at_ms(0));
            routes.on_finish(node, at_ms(0), milliseconds{1},
                             route_result::failed);
        }
    };
    routes.choose(candidates, {}, request_rank(0), at_ms(0), 1);

    SUBCASE("are ejected for a limited time")
    {
        fail(0, 5);
        CHECK(routes.is_ejected(candidates[0].node, at_ms(10)));
        CHECK_FALSE(routes.is_ejected(candidates[0].node, at_ms(1'500)));
    }
    SUBCASE("are ejected only up to a third of the pool")
    {
        for (int i = 0; i < 6; ++i)
            fail(i, 20);
        int ejected = 0;
        for (auto const& candidate : candidates)
            ejected += routes.is_ejected(candidate.node, at_ms(10)) ? 1 : 0;
        CHECK(ejected <= 2);
    }
    SUBCASE("are not ejected for calls that were cancelled")
    {
        for (int i = 0; i < 20; ++i)
        {
            routes.on_start(candidates[0].node, at_ms(0));
            routes.on_finish(candidates[0].node, at_ms(0), milliseconds{1},
                             route_result::cancelled);
        }
        CHECK_FALSE(routes.is_ejected(candidates[0].node, at_ms(10)));
    }
}

TEST_CASE("failures never leave a service without an upstream")
{
    CHECK(rc::check("some upstream is chosen",
                    []
                    {
                        auto routes = make_router();
                        auto const candidates =
                            make_candidates(*rc::gen::inRange(1, 7), 2);
                        auto now = at_ms(1);
                        auto const events = *rc::gen::inRange(0, 200);
                        for (int i = 0; i < events; ++i)
                        {
                            now += milliseconds{*rc::gen::inRange(0, 50)};
                            auto const choice = routes.choose(
                                candidates, {}, request_rank(0), now,
                                *rc::gen::arbitrary<std::uint64_t>());
                            RC_ASSERT(choice.node.has_value());
                            routes.on_start(*choice.node, now);
                            routes.on_finish(*choice.node, now, milliseconds{5},
                                             static_cast<route_result>(
                                                 *rc::gen::inRange(0, 4)));
                        }
                    }));
}
