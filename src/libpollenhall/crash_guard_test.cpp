// Tests the detection of requests that crash upstreams. Guards against a
// request that crashes one upstream after another because it is retried, and
// against refusing requests that only happened to run at the same time.

#include <pollenhall/crash_guard.hpp>

#include <doctest/doctest.h>

#include <array>
#include <vector>

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
            CHECK_FALSE(guard.refuses(poison, 3, now + seconds{601}));
        }
    }
    SUBCASE("is refused on each node that received the suspicions")
    {
        crash_guard other_guard;
        other_guard.add(suspicions.front(), now);
        other_guard.add({.content = poison,
                         .crash = crash_id(11),
                         .time_left = seconds{600}},
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
        guard.on_completed(harmless, now);
        guard.on_crash(crash_id(11), in_flight, now);
        guard.on_crash(crash_id(12), in_flight, now);
        CHECK_FALSE(guard.refuses(harmless, 3, now));
        CHECK(guard.refuses(poison, 3, now));
    }
    SUBCASE("stays suspected for the whole lifetime of a suspicion")
    {
        guard.on_crash(crash_id(11), std::array{poison}, now);
        CHECK(guard.refuses(poison, 3, now + seconds{599}));
    }
    SUBCASE("is suspected if its last completion is long ago")
    {
        guard.on_completed(poison, now);
        auto const later = now + seconds{11};
        guard.on_crash(crash_id(11), std::array{poison}, later);
        guard.on_crash(crash_id(12), std::array{poison}, later);
        CHECK(guard.refuses(poison, 3, later));
    }
    SUBCASE("is among the suspects of a second crash with many requests")
    {
        std::vector<fingerprint> many;
        for (std::uint64_t i = 100; i < 300; ++i)
            many.emplace_back(i);
        many.push_back(poison);
        guard.on_crash(crash_id(11), many, now);
        CHECK(guard.refuses(poison, 3, now));
    }
    SUBCASE("is refused after three crashes of which only one is confirmed")
    {
        guard.on_crash(crash_id(11), std::array{poison}, now, false);
        CHECK_FALSE(guard.refuses(poison, 3, now));
        guard.on_crash(crash_id(12), std::array{poison}, now, false);
        CHECK(guard.refuses(poison, 3, now));
    }
    SUBCASE("a possible crash that is confirmed later counts once")
    {
        crash_guard other_guard;
        other_guard.on_crash(crash_id(10), std::array{poison}, now, false);
        CHECK(other_guard.add(suspicions.front(), now));
        CHECK_FALSE(other_guard.add(suspicions.front(), now));
        CHECK_FALSE(other_guard.refuses(poison, 3, now));
    }
}
