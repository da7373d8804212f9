// Tests the recognition of requests that crash what runs them.

#include <pollenhall/crash_guard.hpp>

#include <doctest/doctest.h>

#include <array>

TEST_CASE("a request that was there at two crashes")
{
    using namespace pollenhall;
    constexpr mono_time now{seconds{1}};
    constexpr fingerprint poison{1};
    constexpr fingerprint innocent{2};
    crash_guard guard;
    std::array const in_flight{poison, innocent};
    auto const cast = guard.on_crash(crash_id(10), in_flight, now);
    CHECK(cast.size() == 2);
    CHECK_FALSE(guard.refuses(poison, 3, now));

    SUBCASE("is refused")
    {
        guard.on_crash(crash_id(11), std::array{poison}, now);
        CHECK(guard.refuses(poison, 3, now));
        CHECK_FALSE(guard.refuses(innocent, 3, now));

        SUBCASE("for a bounded time")
        {
            CHECK_FALSE(guard.refuses(poison, 3, now + seconds{61}));
        }
    }
    SUBCASE("is refused wherever the suspicions were heard")
    {
        crash_guard elsewhere;
        elsewhere.add(cast.front(), now);
        elsewhere.add({.content = poison,
                       .crash = crash_id(11),
                       .time_left = seconds{60}},
                      now);
        CHECK(elsewhere.refuses(poison, 3, now));
    }
    SUBCASE("one crash that many connections report counts once")
    {
        guard.on_crash(crash_id(10), in_flight, now);
        CHECK_FALSE(guard.refuses(poison, 3, now));
    }
    SUBCASE("never takes the last healthy upstream")
    {
        CHECK(guard.refuses(poison, 1, now));
    }
    SUBCASE("a request that completed is not blamed")
    {
        guard.on_completed(innocent);
        guard.on_crash(crash_id(11), in_flight, now);
        guard.on_crash(crash_id(12), in_flight, now);
        CHECK_FALSE(guard.refuses(innocent, 3, now));
        CHECK(guard.refuses(poison, 3, now));
    }
}
