// Tests which requests a stopping node accepts. Guards against requests that
// are accepted and then cut off when the process ends, and against a stop that
// lasts as long as clients keep trying.

#include <pollenhall/mesh/shutdown_policy.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pollenhall;
using namespace pollenhall::mesh;

TEST_CASE("a stopping node")
{
    mono_time const began{seconds{100}};
    shutdown_policy const policy({.grace = seconds{5}}, began);
    auto const accepts =
        [&](milliseconds at, milliseconds timeout, milliseconds usual_time)
    {
        return policy.accepts(
            {.deadline = began + at + timeout, .usual_time = usual_time},
            began + at);
    };

    SUBCASE("accepts requests that time out before it ends")
    {
        CHECK(accepts(milliseconds{0}, milliseconds{4'900}, seconds{9}));
        CHECK(accepts(milliseconds{2'700}, milliseconds{2'200}, seconds{9}));
    }
    SUBCASE("accepts early requests that usually take less than the rest")
    {
        CHECK(accepts(milliseconds{500}, seconds{20}, seconds{4}));
        CHECK_FALSE(accepts(milliseconds{1'500}, seconds{20}, seconds{4}));
    }
    SUBCASE("rejects later ones that it might cut off")
    {
        CHECK_FALSE(accepts(milliseconds{2'400}, seconds{3}, seconds{1}));
    }
    SUBCASE("rejects all that arrive late")
    {
        CHECK_FALSE(
            accepts(milliseconds{2'800}, milliseconds{100}, milliseconds{10}));
    }
    SUBCASE("accepts the calls of requests that run beside it to the end")
    {
        shutdown_policy const longer(
            {.grace = seconds{5}, .final_period = milliseconds{600}}, began);
        stopping_request const call{.deadline = began + seconds{9},
                                    .is_inner_call = true};
        CHECK(longer.accepts(call, began + milliseconds{4'900}));
        CHECK(longer.accepts(call, began + milliseconds{5'300}));
        // The response could not be sent any more.
        CHECK_FALSE(longer.accepts(call, began + milliseconds{5'400}));
        CHECK(longer.max_deadline() + milliseconds{200} ==
              longer.process_end());
        CHECK(longer.end() == began + seconds{5});
    }
    SUBCASE("accepts calls of peers as long as it waits for callers")
    {
        stopping_request const call{.deadline = began + milliseconds{2'900}};
        CHECK(policy.accepts_peer_call(call, began + milliseconds{2'200}));
        CHECK_FALSE(
            policy.accepts_peer_call(call, began + milliseconds{2'400}));
        CHECK_FALSE(policy.accepts_peer_call(
            {.deadline = began + seconds{9}, .usual_time = seconds{4}},
            began + milliseconds{1'500}));
    }
    SUBCASE("ends although clients keep trying")
    {
        auto const now = began + milliseconds{2'800};
        CHECK(policy.may_end_idle(now - milliseconds{100}, now));
        CHECK_FALSE(policy.may_end_idle(began + milliseconds{2'300},
                                        began + milliseconds{2'400}));
        CHECK(policy.may_end_idle(began + milliseconds{1'900},
                                  began + milliseconds{2'400}));
        CHECK_FALSE(policy.may_end_idle(began, began + milliseconds{2'200}));
    }
    SUBCASE("accepts nothing with an unbounded time after the first seconds")
    {
        CHECK(rc::check(
            [&]
            {
                milliseconds const at(*rc::gen::inRange(2'301, 6'000));
                milliseconds const timeout(*rc::gen::inRange(1, 30'000));
                if (accepts(at, timeout, milliseconds{0}))
                    RC_ASSERT(at + timeout <= seconds{5});
            }));
    }
}
