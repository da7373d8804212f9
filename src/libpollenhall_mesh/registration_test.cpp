// Tests the registration of an upstream. Guards against late, duplicated or
// foreign heartbeats that replace the newest state of the newest start.

#include <pollenhall/mesh/registration.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

upstream_heartbeat make_heartbeat(char const* incarnation, std::int64_t started,
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

bool is_accepted(heartbeat_result const& result)
{
    return std::holds_alternative<heartbeat_accepted>(result);
}

heartbeat_rejection rejection_of(heartbeat_result const& result)
{
    return std::get<heartbeat_rejection>(result);
}

} // namespace

TEST_CASE("the identifier of an incarnation")
{
    SUBCASE("is visible ASCII, so that it fits a header field and JSON")
    {
        CHECK(parse_incarnation_id("i-7f3a91c2").ok());
        for (std::string const text :
             {"", "i-\xff\xfe", "i 1", "i-1\r\nSmuggled: 1", "\x7f",
              "\xc3\xa9"})
            CHECK_FALSE(parse_incarnation_id(text).ok());
    }
    SUBCASE("is bounded")
    {
        std::string const longest(max_incarnation_bytes, 'i');
        CHECK(parse_incarnation_id(longest).ok());
        CHECK_FALSE(parse_incarnation_id(longest + "i").ok());
    }
}

TEST_CASE("a registered upstream")
{
    upstream_registration registration(service_name("orders"), "127.0.0.1:80");
    constexpr mono_time now{seconds{1}};
    REQUIRE(is_accepted(
        registration.on_heartbeat(make_heartbeat("a", 100, 4), now)));
    CHECK(registration.current()->accepts_work());

    SUBCASE("that drains accepts no work, even after a late heartbeat")
    {
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 100, 6, true), now)));
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 5), now)) ==
              heartbeat_rejection::old_sequence);
        CHECK_FALSE(registration.current()->accepts_work());
    }
    SUBCASE("that has deregistered accepts no work")
    {
        CHECK(registration.on_leave(incarnation_id("a"), now));
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 9), now)) ==
              heartbeat_rejection::has_left);
        CHECK_FALSE(registration.current()->accepts_work());

        SUBCASE("until it starts again, with another or the same incarnation")
        {
            CHECK(is_accepted(
                registration.on_heartbeat(make_heartbeat("b", 200, 1), now)));
            CHECK(registration.current()->accepts_work());
            CHECK(is_accepted(
                registration.on_heartbeat(make_heartbeat("a", 300, 1), now)));
            CHECK(registration.current()->accepts_work());
        }
    }
    SUBCASE("that has restarted ignores heartbeats of the previous start")
    {
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 200, 1), now)));
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 7, true), now)) ==
              heartbeat_rejection::old_start);
        CHECK_FALSE(registration.on_leave(incarnation_id("z"), now));
        CHECK(registration.current()->accepts_work());
    }
    SUBCASE("ignores heartbeats for another address or service")
    {
        auto other = make_heartbeat("c", 500, 1);
        other.address = "127.0.0.2:80";
        CHECK(rejection_of(registration.on_heartbeat(other, now)) ==
              heartbeat_rejection::foreign);
        other = make_heartbeat("c", 500, 1);
        other.service = service_name("warranty");
        CHECK(rejection_of(registration.on_heartbeat(other, now)) ==
              heartbeat_rejection::foreign);
        CHECK(registration.current()->last.incarnation == incarnation_id("a"));
    }
}

TEST_CASE("a health check registers an upstream until a heartbeat arrives")
{
    upstream_registration registration(service_name("orders"), "127.0.0.1:80");
    constexpr mono_time now{seconds{1}};
    CHECK(registration.on_health_check(incarnation_id("a"), std::nullopt, 12,
                                       now));
    CHECK(registration.current()->last.slots == 12);
    CHECK(is_accepted(
        registration.on_heartbeat(make_heartbeat("a", 100, 0, true), now)));
    CHECK_FALSE(registration.current()->accepts_work());
    CHECK_FALSE(registration.on_health_check(incarnation_id("a"), std::nullopt,
                                             12, now));
}

TEST_CASE(
    "heartbeats in any order result in the newest state of the newest start")
{
    CHECK(rc::check(
        []
        {
            std::vector<upstream_heartbeat> sent;
            auto const starts = *rc::gen::inRange(1, 4);
            for (int start = 0; start < starts; ++start)
            {
                auto const heartbeats = *rc::gen::inRange(1, 6);
                for (int i = 1; i <= heartbeats; ++i)
                    sent.push_back(
                        make_heartbeat(start % 2 == 0 ? "a" : "b",
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

TEST_CASE("an upstream that an earlier process of the node knew")
{
    upstream_registration registration(service_name("orders"), "127.0.0.1:80");
    constexpr mono_time now{seconds{1}};
    acknowledged_upstream earlier{.incarnation = incarnation_id("a"),
                                  .started = wall_time(milliseconds(100)),
                                  .sequence = 6};

    SUBCASE("stays away after it has deregistered")
    {
        earlier.left = true;
        registration.set_acknowledged(earlier);
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 7), now)) ==
              heartbeat_rejection::has_left);
        CHECK_FALSE(registration.on_health_check(incarnation_id("a"),
                                                 std::nullopt, 40, now));
        CHECK_FALSE(registration.current().has_value());
        SUBCASE("until a health check finds its successor")
        {
            registration.on_leave(incarnation_id("a"), now);
            CHECK_FALSE(registration.on_health_check(incarnation_id("a"),
                                                     std::nullopt, 40, now));
            CHECK(registration.on_health_check(incarnation_id("b"),
                                               std::nullopt, 40, now));
            CHECK(registration.current()->accepts_work());
        }
    }
    SUBCASE("is not ready again by a heartbeat from before it drained")
    {
        earlier.draining = true;
        registration.set_acknowledged(earlier);
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 5), now)) ==
              heartbeat_rejection::old_sequence);
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 100, 7, true), now)));
        CHECK_FALSE(registration.current()->accepts_work());
    }
    SUBCASE("accepts no more work if it registered before this was known")
    {
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 100, 5), now)));
        SUBCASE("and has left")
        {
            earlier.left = true;
            CHECK(registration.set_acknowledged(earlier));
            CHECK(registration.current()->left);
        }
        SUBCASE("and drains")
        {
            earlier.draining = true;
            CHECK(registration.set_acknowledged(earlier));
        }
        CHECK_FALSE(registration.current()->accepts_work());
        CHECK_FALSE(registration.set_acknowledged(earlier));
    }
    SUBCASE(
        "is dropped if it registered an earlier start before this was known")
    {
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("b", 90, 5), now)));
        CHECK(registration.set_acknowledged(earlier));
        CHECK_FALSE(registration.current().has_value());
    }
    SUBCASE("stays away if an older state is heard later")
    {
        auto older = earlier;
        earlier.left = true;
        registration.set_acknowledged(earlier);
        older.sequence = 2;
        registration.set_acknowledged(older);
        older.incarnation = incarnation_id("b");
        older.started = wall_time(milliseconds(50));
        registration.set_acknowledged(older);
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 7), now)) ==
              heartbeat_rejection::has_left);
    }
    SUBCASE("deregisters before its first heartbeat to this process")
    {
        registration.set_acknowledged(earlier);
        CHECK(registration.on_leave(incarnation_id("a"), now));
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("a", 100, 7), now)) ==
              heartbeat_rejection::has_left);
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 200, 1), now)));
    }
    SUBCASE("does not return from an earlier start")
    {
        registration.set_acknowledged(earlier);
        CHECK(rejection_of(registration.on_heartbeat(
                  make_heartbeat("b", 90, 50), now)) ==
              heartbeat_rejection::old_start);
    }
    SUBCASE("is replaced by a newer start, also with the same id")
    {
        earlier.left = true;
        registration.set_acknowledged(earlier);
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 200, 1), now)));
        CHECK(registration.current()->accepts_work());
    }
    SUBCASE("goes on if it did not announce its end")
    {
        registration.set_acknowledged(earlier);
        CHECK(is_accepted(
            registration.on_heartbeat(make_heartbeat("a", 100, 5), now)));
    }
}
