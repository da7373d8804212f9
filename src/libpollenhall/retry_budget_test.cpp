// Tests the limits on retries. Guards against a request that is retried more
// often than its budget allows: nested calls, lost answers or false claims in
// answers must not increase the sum of retries over its call tree.

#include <pollenhall/call_plan.hpp>
#include <pollenhall/retry_budget.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

namespace
{

using namespace pollenhall;

/// Parameters and results of one simulated call tree.
struct call_tree
{
    std::mt19937_64 random;
    int fan_out = 0;
    int lost_percent = 0;
    int failed_percent = 0;
    int retries = 0;
};

bool occurs(call_tree& tree, int percent)
{
    return static_cast<int>(tree.random() % 100) < percent;
}

// Simulates one call with all its attempts and nested calls. Returns how many
// of the `lent` retries it returns.
int simulate_call(call_tree& tree, int lent, int depth)
{
    retry_ratio ratio({.ratio = 1, .burst = 1'000'000});
    call_plan plan({.deadline = mono_time(std::chrono::hours{1})},
                   retry_budget(retry_count(lent)));
    auto step = call_step(plan.start());
    while (true)
    {
        auto const attempt_lent = std::get<step_attempt>(step).lent.value();
        // The upstream makes its calls while the hop holds `attempt_lent`.
        retry_budget hop{retry_count(attempt_lent)};
        for (int i = 0; depth > 0 && i < tree.fan_out; ++i)
        {
            auto const nested_lent = hop.lend_half();
            auto returned = simulate_call(tree, nested_lent.value(), depth - 1);
            if (occurs(tree, tree.lost_percent))
                returned = 0;
            hop.give_back(retry_count(returned), nested_lent);
        }
        call_attempt_result result;
        result.what = occurs(tree, tree.failed_percent) ? outcome::unknown
                                                        : outcome::completed;
        result.returned =
            occurs(tree, tree.lost_percent) ? retry_count(0) : hop.unspent();
        auto const next =
            plan.next_step(result, ratio, mono_time{}, tree.random());
        if (std::holds_alternative<step_answer>(next))
            return plan.unspent().value();
        ++tree.retries;
        step = plan.resume();
    }
}

} // namespace

TEST_CASE("the retries of one request do not exceed its budget")
{
    SUBCASE("over any call tree, with lost answers")
    {
        CHECK(rc::check("retries <= budget",
                        []
                        {
                            auto const budget = *rc::gen::inRange(0, 9);
                            call_tree tree;
                            tree.random.seed(
                                *rc::gen::arbitrary<std::uint64_t>());
                            tree.fan_out = *rc::gen::inRange(0, 4);
                            tree.lost_percent = *rc::gen::inRange(0, 101);
                            tree.failed_percent = *rc::gen::inRange(0, 101);
                            simulate_call(tree, budget, 3);
                            RC_ASSERT(tree.retries <= budget);
                        }));
    }

    SUBCASE("also if an answer claims to return more than was lent")
    {
        // 2 retries are lent. The first answer claims to return 5, and a
        // second one returns them again.
        retry_budget budget{retry_count(2)};
        auto const lent = budget.lend_all();
        budget.give_back(retry_count(5), lent);
        CHECK(budget.unspent() == retry_count(2));
        budget.give_back(retry_count(2), lent);
        CHECK(budget.unspent() == retry_count(2));
    }
}

TEST_CASE("retries to a service stay below a ratio of its first attempts")
{
    retry_ratio ratio({.ratio = 0.1, .burst = 5});
    int retries = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        ratio.on_first_attempt();
        retries += ratio.spend() ? 1 : 0;
    }
    CHECK(retries <= 1'000 / 10 + 5);
    CHECK(retries >= 1'000 / 10 - 1);
}

TEST_CASE("the delay before a retry is bounded")
{
    CHECK(rc::check("0 <= delay <= cap",
                    []
                    {
                        auto const attempt = *rc::gen::inRange(1, 40);
                        auto const delay = retry_backoff(
                            attempt, *rc::gen::arbitrary<std::uint64_t>());
                        RC_ASSERT(delay >= milliseconds{0});
                        RC_ASSERT(delay <= backoff_options{}.cap);
                    }));
}
