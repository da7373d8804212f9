// Tests the limits on retries: the sum over a generated call tree never
// exceeds what the entry was given.

#include <pollenhall/call_plan.hpp>
#include <pollenhall/retry_budget.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

namespace
{

using namespace pollenhall;

/// Fates of one generated call tree.
struct tree_fates
{
    std::mt19937_64 random;
    int fan_out = 0;
    int lost_percent = 0;
    int failed_percent = 0;
    int retries = 0;
};

bool happens(tree_fates& fates, int percent)
{
    return static_cast<int>(fates.random() % 100) < percent;
}

// Plays one call with all its tries and the calls below it. Returns what it
// gives back of `lent`.
int play_call(tree_fates& fates, int lent, int depth)
{
    retry_ratio ratio({.ratio = 1, .burst = 1'000'000});
    call_plan plan({.deadline = mono_time(std::chrono::hours{1})},
                   retry_budget(retry_count(lent)));
    auto step = call_step(plan.start());
    while (true)
    {
        auto const share = std::get<step_try>(step).lent.value();
        // The upstream makes its calls while the hop holds `share`.
        retry_budget hop{retry_count(share)};
        for (int i = 0; depth > 0 && i < fates.fan_out; ++i)
        {
            auto const part = hop.lend_half();
            auto back = play_call(fates, part.value(), depth - 1);
            if (happens(fates, fates.lost_percent))
                back = 0;
            hop.give_back(retry_count(back), part);
        }
        try_result result;
        result.what = happens(fates, fates.failed_percent) ? outcome::unknown
                                                           : outcome::completed;
        result.returned =
            happens(fates, fates.lost_percent) ? retry_count(0) : hop.unspent();
        auto const next =
            plan.after(result, ratio, mono_time{}, fates.random());
        if (std::holds_alternative<step_answer>(next))
            return plan.unspent().value();
        ++fates.retries;
        step = plan.resume();
    }
}

} // namespace

TEST_CASE("retries of one request stay within its budget")
{
    SUBCASE("over any call tree, with losses")
    {
        CHECK(rc::check("retries <= budget",
                        []
                        {
                            auto const budget = *rc::gen::inRange(0, 9);
                            tree_fates fates;
                            fates.random.seed(
                                *rc::gen::arbitrary<std::uint64_t>());
                            fates.fan_out = *rc::gen::inRange(0, 4);
                            fates.lost_percent = *rc::gen::inRange(0, 101);
                            fates.failed_percent = *rc::gen::inRange(0, 101);
                            play_call(fates, budget, 3);
                            RC_ASSERT(fates.retries <= budget);
                        }));
    }

    SUBCASE("a budget that trusted the answers would break the bound")
    {
        // The mutation: take back whatever the answer claims.
        retry_budget honest{retry_count(2)};
        auto const lent = honest.lend_all();
        honest.give_back(retry_count(5), lent);
        CHECK(honest.unspent() == retry_count(2));
        honest.give_back(retry_count(2), lent);
        CHECK(honest.unspent() == retry_count(2));
    }
}

TEST_CASE("a service's retries stay below a share of its first tries")
{
    retry_ratio ratio({.ratio = 0.1, .burst = 5});
    int retries = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        ratio.on_first_try();
        retries += ratio.spend() ? 1 : 0;
    }
    CHECK(retries <= 1'000 / 10 + 5);
    CHECK(retries >= 1'000 / 10 - 1);
}

TEST_CASE("the wait before a retry is jittered and bounded")
{
    CHECK(rc::check("0 <= wait <= cap",
                    []
                    {
                        auto const attempt = *rc::gen::inRange(1, 40);
                        auto const wait = retry_backoff(
                            attempt, *rc::gen::arbitrary<std::uint64_t>());
                        RC_ASSERT(wait >= milliseconds{0});
                        RC_ASSERT(wait <= backoff_options{}.cap);
                    }));
}
