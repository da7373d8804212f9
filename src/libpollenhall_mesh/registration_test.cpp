// Tests that heartbeats in any order leave the newest start and its newest
// state.

#include <pollenhall/mesh/registration.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

upstream_heartbeat beat(char const* incarnation, std::int64_t started,
                        std::int64_t sequence, bool draining = false)
{
    return {.incarnation = incarnation_id(incarnation),
            .service = service_name("orders"),
            .address = "127.0.0.1:80",
            .started = wall_time(milliseconds(started)),
            .sequence = sequence,
            .slots = 40,
            .draining = draining};
}

bool accepted(heartbeat_result const& result)
{
    return std::holds_alternative<heartbeat_accepted>(result);
}

heartbeat_rejection rejection(heartbeat_result const& result)
{
    return std::get<heartbeat_rejection>(result);
}

} // namespace

TEST_CASE("an upstream beside a node")
{
    upstream_registration registration(service_name("orders"), "127.0.0.1:80");
    constexpr mono_time now{seconds{1}};
    REQUIRE(accepted(registration.on_heartbeat(beat("a", 100, 4), now)));
    CHECK(registration.current()->accepts_work());

    SUBCASE("that drains takes no work, whatever late heartbeats say")
    {
        CHECK(
            accepted(registration.on_heartbeat(beat("a", 100, 6, true), now)));
        CHECK(rejection(registration.on_heartbeat(beat("a", 100, 5), now)) ==
              heartbeat_rejection::old_sequence);
        CHECK_FALSE(registration.current()->accepts_work());
    }
    SUBCASE("that has left stays away")
    {
        CHECK(registration.on_leave(incarnation_id("a"), now));
        CHECK(rejection(registration.on_heartbeat(beat("a", 100, 9), now)) ==
              heartbeat_rejection::has_left);
        CHECK_FALSE(registration.current()->accepts_work());

        SUBCASE("until it starts again, under another name or its own")
        {
            CHECK(accepted(registration.on_heartbeat(beat("b", 200, 1), now)));
            CHECK(registration.current()->accepts_work());
            CHECK(accepted(registration.on_heartbeat(beat("a", 300, 1), now)));
            CHECK(registration.current()->accepts_work());
        }
    }
    SUBCASE("that started again counts anew, and its predecessor is ignored")
    {
        CHECK(accepted(registration.on_heartbeat(beat("a", 200, 1), now)));
        CHECK(rejection(
                  registration.on_heartbeat(beat("a", 100, 7, true), now)) ==
              heartbeat_rejection::old_start);
        CHECK_FALSE(registration.on_leave(incarnation_id("z"), now));
        CHECK(registration.current()->accepts_work());
    }
    SUBCASE("is not another host's")
    {
        auto other = beat("c", 500, 1);
        other.address = "127.0.0.2:80";
        CHECK(rejection(registration.on_heartbeat(other, now)) ==
              heartbeat_rejection::foreign);
        other = beat("c", 500, 1);
        other.service = service_name("warranty");
        CHECK(rejection(registration.on_heartbeat(other, now)) ==
              heartbeat_rejection::foreign);
        CHECK(registration.current()->last.incarnation == incarnation_id("a"));
    }
}

TEST_CASE("a health check names an upstream until a heartbeat comes")
{
    upstream_registration registration(service_name("orders"), "127.0.0.1:80");
    constexpr mono_time now{seconds{1}};
    CHECK(registration.on_health_check(incarnation_id("a"), 12, now));
    CHECK(registration.current()->last.slots == 12);
    CHECK(accepted(registration.on_heartbeat(beat("a", 100, 0, true), now)));
    CHECK_FALSE(registration.current()->accepts_work());
    CHECK_FALSE(registration.on_health_check(incarnation_id("a"), 12, now));
}

TEST_CASE("heartbeats in any order leave the newest state of the newest start")
{
    CHECK(rc::check(
        []
        {
            std::vector<upstream_heartbeat> sent;
            auto const starts = *rc::gen::inRange(1, 4);
            for (int start = 0; start < starts; ++start)
            {
                auto const beats = *rc::gen::inRange(1, 6);
                for (int i = 1; i <= beats; ++i)
                    sent.push_back(beat(start % 2 == 0 ? "a" : "b",
                                        std::int64_t{100} * (start + 1), i,
                                        *rc::gen::arbitrary<bool>()));
            }
            auto const newest = sent.back();
            auto order = *rc::gen::container<std::vector<std::size_t>>(
                30, rc::gen::inRange<std::size_t>(0, sent.size()));
            order.insert(order.begin() +
                             static_cast<std::ptrdiff_t>(
                                 *rc::gen::inRange<std::size_t>(0, 30)),
                         sent.size() - 1);
            upstream_registration registration(service_name("orders"),
                                               "127.0.0.1:80");
            for (auto const index : order)
                registration.on_heartbeat(sent[index], mono_time{});
            auto const& last = registration.current()->last;
            RC_ASSERT(last.started == newest.started);
            RC_ASSERT(last.sequence == newest.sequence);
            RC_ASSERT(last.draining == newest.draining);
        }));
}
