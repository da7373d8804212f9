// Tests the detection of pauses. Guards against a process that runs requests
// whose time passed while it stood still.

#include <pollenhall/mesh/pause_detector.hpp>

#include <doctest/doctest.h>

using namespace pollenhall;
using namespace pollenhall::mesh;

TEST_CASE("a process that reads requests")
{
    constexpr mono_time start{seconds{100}};
    pause_detector detector({}, start);
    auto const at = [&](int ms) { return start + milliseconds{ms}; };
    CHECK(detector.on_tick(at(200)) == milliseconds{0});

    SUBCASE("takes them as new while it ticks")
    {
        CHECK(detector.earliest_arrival(at(350)) == at(350));
        CHECK(detector.on_tick(at(450)) == milliseconds{0});
    }
    SUBCASE("takes them as old after a pause, before and after the next tick")
    {
        CHECK(detector.earliest_arrival(at(5'200)) == at(200));
        CHECK(detector.on_tick(at(5'201)) == milliseconds{5'001});
        CHECK(detector.earliest_arrival(at(5'250)) == at(200));
    }
    SUBCASE("takes them as new again a short time later")
    {
        CHECK(detector.on_tick(at(5'201)) == milliseconds{5'001});
        CHECK(detector.earliest_arrival(at(5'400)) == at(5'400));
    }
}
