// Tests when a response is overdue and when failures are rare. Guards against
// hedged attempts for responses that are only slow, and against retries while
// many requests fail.

#include <pollenhall/mesh/response_stats.hpp>

#include <doctest/doctest.h>

#include <cmath>
#include <random>

TEST_CASE("responses on a route")
{
    using namespace pollenhall;
    using namespace pollenhall::mesh;
    response_stats stats;
    route_name const route("leaf");
    std::mt19937_64 random(5);
    // Long-tailed, with a mean of about 25 ms.
    std::lognormal_distribution<double> time(std::log(22.0), 0.5);
    CHECK_FALSE(stats.overdue_delay(route).has_value());
    CHECK_FALSE(stats.failures_are_rare(route));
    int overdue = 0;
    for (int i = 0; i < 5'000; ++i)
    {
        auto const response_time =
            microseconds(static_cast<std::int64_t>(time(random) * 1'000));
        auto const overdue_delay = stats.overdue_delay(route);
        overdue += overdue_delay && response_time > *overdue_delay ? 1 : 0;
        stats.on_response(route, response_time, i % 100 == 0);
    }

    SUBCASE("are rarely overdue")
    {
        CHECK(overdue < 25);
        CHECK(*stats.overdue_delay(route) < milliseconds(250));
    }
    SUBCASE("that fail once in a hundred have rare failures")
    {
        CHECK(stats.failures_are_rare(route));
    }
    SUBCASE("that fail often do not have rare failures")
    {
        for (int i = 0; i < 20; ++i)
            stats.on_failure(route);
        CHECK_FALSE(stats.failures_are_rare(route));
    }
}
