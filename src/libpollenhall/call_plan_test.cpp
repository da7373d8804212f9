// Tests what follows each try of a call, and what the caller is told.

#include <pollenhall/call_plan.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace
{

using namespace pollenhall;

call_plan make_plan(bool repeatable, bool may_move = true, int retries = 3)
{
    return call_plan({.repeatable = repeatable,
                      .may_move = may_move,
                      .deadline = mono_time(seconds{10})},
                     retry_budget(retry_count(retries)));
}

try_result make_result(outcome what, std::optional<refusal> reason = {})
{
    try_result result;
    result.what = what;
    result.reason = reason;
    result.returned = retry_count(3);
    return result;
}

bool tries_again(call_plan& plan, try_result const& result)
{
    retry_ratio ratio;
    return std::holds_alternative<step_wait>(
        plan.after(result, ratio, mono_time{}, 0));
}

} // namespace

TEST_CASE("a repeatable call that crashes what runs it")
{
    auto plan = make_plan(true, true, 5);
    plan.start();
    CHECK(tries_again(plan, make_result(outcome::unknown)));
    plan.resume();

    SUBCASE("is not tried a third time")
    {
        CHECK_FALSE(tries_again(plan, make_result(outcome::unknown)));
    }
    SUBCASE("may still be moved after a refusal")
    {
        CHECK(tries_again(plan,
                          make_result(outcome::not_run, refusal::draining)));
    }
}

TEST_CASE("a call that is not repeatable")
{
    auto plan = make_plan(false);
    plan.start();

    SUBCASE("is never tried again after it may have run")
    {
        CHECK_FALSE(tries_again(plan, make_result(outcome::unknown)));
        CHECK(plan.may_have_run());
    }
    SUBCASE("is offered to another upstream after it was shed")
    {
        CHECK(tries_again(plan, make_result(outcome::not_run, refusal::shed)));
        CHECK_FALSE(plan.may_have_run());
    }
    SUBCASE("is not tried again after a failed answer")
    {
        auto failed = make_result(outcome::completed);
        failed.worth_retry = true;
        CHECK_FALSE(tries_again(plan, failed));
    }
}

TEST_CASE("a call that goes to the home of its key")
{
    call_plan plan({.repeatable = false,
                    .may_move = false,
                    .asks_home = true,
                    .deadline = mono_time(seconds{10})},
                   retry_budget(retry_count(0)));
    plan.start();

    SUBCASE("is asked again while the home does not answer, without a retry")
    {
        auto lost = make_result(outcome::unknown, refusal::home_unreachable);
        lost.returned = retry_count(0);
        for (int i = 0; i < 20; ++i)
        {
            CHECK(tries_again(plan, lost));
            plan.resume();
        }

        SUBCASE("and may have run once it is given up")
        {
            CHECK(plan.may_have_run());
        }
        SUBCASE("and did not run if the home turns out to be gone")
        {
            CHECK_FALSE(tries_again(
                plan, make_result(outcome::not_run, refusal::home_gone)));
            CHECK_FALSE(plan.may_have_run());
        }
        SUBCASE("and may have run if the home refuses it afterwards")
        {
            CHECK_FALSE(tries_again(
                plan, make_result(outcome::not_run, refusal::shed)));
            CHECK(plan.may_have_run());
        }
    }
    SUBCASE("is asked again until the home takes it, and did not run till then")
    {
        CHECK(tries_again(
            plan, make_result(outcome::not_run, refusal::home_not_ready)));
        CHECK_FALSE(plan.may_have_run());
    }
    SUBCASE("is given up when the home itself cannot tell")
    {
        CHECK_FALSE(tries_again(plan, make_result(outcome::unknown)));
    }
}

TEST_CASE("a repeatable call")
{
    auto plan = make_plan(true);
    plan.start();

    SUBCASE("is tried again after it may have run")
    {
        CHECK(tries_again(plan, make_result(outcome::unknown)));
    }
    SUBCASE("keeps retries for the case that a try is lost with what it took")
    {
        auto lost = make_result(outcome::unknown);
        lost.returned = retry_count(0);
        CHECK(tries_again(plan, lost));
    }
    SUBCASE("is not moved once its deadline cannot be met")
    {
        CHECK_FALSE(tries_again(
            plan, make_result(outcome::not_run, refusal::deadline)));
    }
    SUBCASE("waits as long as the upstream asks for")
    {
        auto refused = make_result(outcome::not_run, refusal::shed);
        refused.retry_after = milliseconds{700};
        retry_ratio ratio;
        auto const step = plan.after(refused, ratio, mono_time{}, 0);
        REQUIRE(std::holds_alternative<step_wait>(step));
        CHECK(std::get<step_wait>(step).time >= milliseconds{700});
    }
    SUBCASE("is given up when the wait would pass the deadline")
    {
        auto refused = make_result(outcome::not_run, refusal::shed);
        refused.retry_after = seconds{20};
        CHECK_FALSE(tries_again(plan, refused));
    }
}

TEST_CASE("names of outcomes and refusals survive the wire")
{
    for (int i = 1; i <= 3; ++i)
    {
        auto const what = static_cast<outcome>(i);
        CHECK(parse_outcome(to_string(what)) == what);
    }
    for (int i = 0; i < 14; ++i)
    {
        auto const reason = static_cast<refusal>(i);
        CHECK(parse_refusal(to_string(reason)) == reason);
    }
    CHECK_FALSE(parse_refusal("nonsense").has_value());
}
