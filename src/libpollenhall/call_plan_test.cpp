// Tests the retry decisions for a call. Guards against a call that runs twice
// although it is not repeatable, against retries that cannot succeed, and
// against a caller that is told "not run" about a call that may have run.

#include <pollenhall/call_plan.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace
{

using namespace pollenhall;

call_plan make_plan(bool repeatable, bool may_use_other_upstream = true,
                    int retries = 3)
{
    return call_plan({.repeatable = repeatable,
                      .may_use_other_upstream = may_use_other_upstream,
                      .deadline = mono_time(seconds{10})},
                     retry_budget(retry_count(retries)));
}

call_attempt_result make_result(outcome what,
                                std::optional<refusal> reason = {})
{
    call_attempt_result result;
    result.what = what;
    result.reason = reason;
    result.returned = retry_count(3);
    return result;
}

bool is_retried(call_plan& plan, call_attempt_result const& result)
{
    retry_ratio ratio;
    return std::holds_alternative<step_wait>(
        plan.next_step(result, ratio, mono_time{}, 0));
}

} // namespace

TEST_CASE("a repeatable call that crashes its upstreams")
{
    auto plan = make_plan(true, true, 5);
    plan.start();
    CHECK(is_retried(plan, make_result(outcome::unknown)));
    plan.resume();

    SUBCASE("gets no third attempt")
    {
        CHECK_FALSE(is_retried(plan, make_result(outcome::unknown)));
    }
    SUBCASE("may still go to another upstream after a refusal")
    {
        CHECK(
            is_retried(plan, make_result(outcome::not_run, refusal::draining)));
    }
}

TEST_CASE("a call that is not repeatable")
{
    auto plan = make_plan(false);
    plan.start();

    SUBCASE("is not retried if it may have run")
    {
        CHECK_FALSE(is_retried(plan, make_result(outcome::unknown)));
        CHECK(plan.may_have_run());
    }
    SUBCASE("is sent to another upstream after it was shed")
    {
        CHECK(is_retried(plan, make_result(outcome::not_run, refusal::shed)));
        CHECK_FALSE(plan.may_have_run());
    }
    SUBCASE("is not retried after an answer with an error")
    {
        auto failed = make_result(outcome::completed);
        failed.worth_retry = true;
        CHECK_FALSE(is_retried(plan, failed));
    }
}

TEST_CASE("a call sent to the home of its idempotency key")
{
    call_plan plan({.repeatable = false,
                    .may_use_other_upstream = false,
                    .targets_key_home = true,
                    .deadline = mono_time(seconds{10})},
                   retry_budget(retry_count(0)));
    plan.start();

    SUBCASE("is sent again while the home does not answer, without a retry")
    {
        auto lost = make_result(outcome::unknown, refusal::home_unreachable);
        lost.returned = retry_count(0);
        for (int i = 0; i < 20; ++i)
        {
            CHECK(is_retried(plan, lost));
            plan.resume();
        }

        SUBCASE("and may have run")
        {
            CHECK(plan.may_have_run());
        }
        SUBCASE("and did not run if the home is permanently gone")
        {
            CHECK_FALSE(is_retried(
                plan, make_result(outcome::not_run, refusal::home_gone)));
            CHECK_FALSE(plan.may_have_run());
        }
        SUBCASE("and may have run if the home refuses it afterwards")
        {
            CHECK_FALSE(
                is_retried(plan, make_result(outcome::not_run, refusal::shed)));
            CHECK(plan.may_have_run());
        }
    }
    SUBCASE("is sent again until the home is ready, and has not run so far")
    {
        CHECK(is_retried(
            plan, make_result(outcome::not_run, refusal::home_not_ready)));
        CHECK_FALSE(plan.may_have_run());
    }
    SUBCASE("is not sent again if the home does not know whether it ran")
    {
        CHECK_FALSE(is_retried(plan, make_result(outcome::unknown)));
    }
}

TEST_CASE("a repeatable call")
{
    auto plan = make_plan(true);
    plan.start();

    SUBCASE("is retried after it may have run")
    {
        CHECK(is_retried(plan, make_result(outcome::unknown)));
    }
    SUBCASE("has retries left if an attempt and its lent retries are lost")
    {
        auto lost = make_result(outcome::unknown);
        lost.returned = retry_count(0);
        CHECK(is_retried(plan, lost));
    }
    SUBCASE("is not sent elsewhere if its deadline cannot be met")
    {
        CHECK_FALSE(
            is_retried(plan, make_result(outcome::not_run, refusal::deadline)));
    }
    SUBCASE("waits at least as long as the upstream asks for")
    {
        auto refused = make_result(outcome::not_run, refusal::shed);
        refused.retry_after = milliseconds{700};
        retry_ratio ratio;
        auto const step = plan.next_step(refused, ratio, mono_time{}, 0);
        REQUIRE(std::holds_alternative<step_wait>(step));
        CHECK(std::get<step_wait>(step).time >= milliseconds{700});
    }
    SUBCASE("is not retried if the delay would pass the deadline")
    {
        auto refused = make_result(outcome::not_run, refusal::shed);
        refused.retry_after = seconds{20};
        CHECK_FALSE(is_retried(plan, refused));
    }
}

TEST_CASE("parsing the name of an outcome or refusal returns its value")
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
