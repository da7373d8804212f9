// Tests which calls run, wait and are rejected at one upstream. Guards against
// slots that are lost or used twice when calls end, are dropped and are
// cancelled in any order.

#include <pollenhall/mesh/gate_queue.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <queue>
#include <random>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

mono_time at_ms(std::int64_t ms)
{
    return mono_time(milliseconds(ms));
}

gate_request make_call(std::uint64_t number, int rank, std::int64_t ms,
                       std::int64_t timeout_ms = 700)
{
    return {.number = gate_call_id(number),
            .rank = {.level = rank},
            .arrived = at_ms(ms),
            .deadline = at_ms(ms + timeout_ms),
            .max_wait = milliseconds(150)};
}

} // namespace

TEST_CASE("a gate queue with two running calls")
{
    gate_queue queue;
    queue.set_slots(3);
    CHECK_FALSE(queue.offer(make_call(1, 2, 0), at_ms(0)));
    CHECK_FALSE(queue.offer(make_call(2, 2, 0), at_ms(0)));
    CHECK(queue.take_startable().size() == 2);

    SUBCASE("starts the waiting call with the best rank first")
    {
        CHECK_FALSE(queue.offer(make_call(3, 2, 1), at_ms(1)));
        CHECK_FALSE(queue.offer(make_call(4, 0, 2), at_ms(2)));
        CHECK(queue.take_startable().empty());
        queue.on_finished(milliseconds(20), false, at_ms(20));
        auto const started = queue.take_startable();
        REQUIRE(started.size() == 1);
        CHECK(started[0].number == gate_call_id(4));
    }
    SUBCASE("drops a call that has waited for max_wait")
    {
        CHECK_FALSE(queue.offer(make_call(3, 2, 1), at_ms(1)));
        CHECK(queue.take_dropped(at_ms(140)).empty());
        auto const dropped = queue.take_dropped(at_ms(151));
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].reason == gate_rejection::waited_out);
        CHECK(queue.queued() == 0);
    }
    SUBCASE("rejects calls at once that cannot start in time")
    {
        int rejected = 0;
        for (std::uint64_t i = 10; i < 60; ++i)
            rejected += queue.offer(make_call(i, 2, 1), at_ms(1)) ? 1 : 0;
        CHECK(rejected > 30);
        CHECK(queue.expected_wait() > milliseconds(50));
    }
    SUBCASE("removes a cancelled call")
    {
        CHECK_FALSE(queue.offer(make_call(3, 2, 1), at_ms(1)));
        CHECK(queue.cancel(gate_call_id(3)));
        CHECK_FALSE(queue.cancel(gate_call_id(3)));
        CHECK(queue.queued() == 0);
    }
}

TEST_CASE("slots are neither lost nor used twice in any sequence of events")
{
    CHECK(rc::check(
        []
        {
            gate_queue queue;
            queue.set_slots(11);
            constexpr int limit = 10;
            std::uint64_t number = 0;
            int running = 0;
            std::int64_t ms = 0;
            for (int step = 0; step < 200; ++step)
            {
                ms += *rc::gen::inRange(0, 30);
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                case 1:
                    queue.offer(
                        make_call(++number, *rc::gen::inRange(0, 3), ms),
                        at_ms(ms));
                    break;
                case 2:
                    if (running > 0)
                    {
                        --running;
                        queue.on_finished(milliseconds(20),
                                          *rc::gen::arbitrary<bool>(),
                                          at_ms(ms));
                    }
                    break;
                default:
                    queue.cancel(gate_call_id(
                        *rc::gen::inRange<std::uint64_t>(0, number + 1)));
                }
                queue.take_dropped(at_ms(ms));
                running += static_cast<int>(queue.take_startable().size());
                RC_ASSERT(running <= limit);
                RC_ASSERT(queue.running() == running);
                RC_ASSERT(queue.queued() == 0 || running == limit);
            }
        }));
}
