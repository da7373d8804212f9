// Tests the detection of requests that crash upstreams. Guards against a
// request that crashes one upstream after another because it is retried, and
// against refusing requests that only happened to run at the same time.

#include <pollenhall/crash_guard.hpp>

#include <doctest/doctest.h>

#include <array>

TEST_CASE("a request that was running at a crash")
{
    using namespace pollenhall;
    constexpr mono_time now{seconds{1}};
    constexpr fingerprint poison{1};
    constexpr fingerprint harmless{2};
    crash_guard guard;
    std::array const in_flight{poison, harmless};
    auto const suspicions = guard.on_crash(crash_id(10), in_flight, now);
    CHECK(suspicions.size() == 2);
    CHECK_FALSE(guard.refuses(poison, 3, now));

    SUBCASE("is refused after a second crash")
    {
        guard.on_crash(crash_id(11), std::array{poison}, now);
        CHECK(guard.refuses(poison, 3, now));
        CHECK_FALSE(guard.refuses(harmless, 3, now));

        SUBCASE("for a bounded time")
        {
            CHECK_FALSE(guard.refuses(poison, 3, now + seconds{61}));
        }
    }
    SUBCASE("is refused on each node that received the suspicions")
    {
        crash_guard other_guard;
        other_guard.add(suspicions.front(), now);
        other_guard.add({.content = poison,
                         .crash = crash_id(11),
                         .time_left = seconds{60}},
                        now);
        CHECK(other_guard.refuses(poison, 3, now));
    }
    SUBCASE("one crash reported by several connections counts once")
    {
        guard.on_crash(crash_id(10), in_flight, now);
        CHECK_FALSE(guard.refuses(poison, 3, now));
    }
    SUBCASE("is refused after one crash if one healthy upstream is left")
    {
        CHECK(guard.refuses(poison, 1, now));
    }
    SUBCASE("a request that completed is not suspected")
    {
        guard.on_completed(harmless);
        guard.on_crash(crash_id(11), in_flight, now);
        guard.on_crash(crash_id(12), in_flight, now);
        CHECK_FALSE(guard.refuses(harmless, 3, now));
        CHECK(guard.refuses(poison, 3, now));
    }
}
