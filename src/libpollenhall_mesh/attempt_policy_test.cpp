// Tests what follows an attempt, against the promises on "not run", on runs
// of what may not be repeated, and on the allowance of repeats.

#include <pollenhall/mesh/attempt_policy.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

} // namespace

TEST_CASE("attempts of one call keep the promises for any run of failures")
{
    CHECK(rc::check(
        []
        {
            attempt_limits const limits{.idempotent =
                                            *rc::gen::arbitrary<bool>(),
                                        .attempts = *rc::gen::inRange(1, 4),
                                        .placements = 3};
            attempt_policy policy(limits);
            int run = 0;
            bool may_have_run = false;
            for (int i = 0; i < 20; ++i)
            {
                auto const end = *rc::gen::element(
                    attempt_end::answered, attempt_end::failed,
                    attempt_end::not_offered, attempt_end::not_run,
                    attempt_end::unknown, attempt_end::timed_out);
                if (end != attempt_end::not_offered &&
                    end != attempt_end::not_run)
                    ++run;
                if (end == attempt_end::unknown ||
                    end == attempt_end::timed_out || end == attempt_end::failed)
                    may_have_run = true;
                auto const step =
                    policy.on_end(end, *rc::gen::arbitrary<bool>(),
                                  [] { return *rc::gen::arbitrary<bool>(); });
                bool const again =
                    step == next_step::place_again || step == next_step::repeat;
                // At most once: nothing that may have run goes on.
                RC_ASSERT(!(again && may_have_run && !limits.idempotent));
                // A refusal says that it has not run.
                RC_ASSERT(!(step == next_step::refuse && may_have_run));
                RC_ASSERT(
                    !(step == next_step::repeat && run >= limits.attempts));
                if (end == attempt_end::answered)
                    RC_ASSERT(step == next_step::deliver);
                if (step == next_step::deliver)
                    RC_ASSERT(end == attempt_end::answered ||
                              end == attempt_end::failed);
                if (!again)
                    return;
            }
            RC_FAIL("a call never ended");
        }));
}

TEST_CASE("repeats of all nodes together stay within the allowance")
{
    CHECK(rc::check(
        []
        {
            constexpr double ratio = 0.2;
            constexpr double slack = 47;
            constexpr std::size_t window = 20; // half seconds
            auto const nodes = *rc::gen::inRange<std::size_t>(1, 60);
            service_name const service("leaf");
            std::vector<retry_allowance> allowances(
                nodes, retry_allowance({.ratio = ratio, .slack = slack}));
            for (auto& allowance : allowances)
                allowance.set_nodes(nodes);
            std::vector<int> first;
            std::vector<int> repeats;
            for (std::size_t half = 0; half < 90; ++half)
            {
                mono_time const now(milliseconds(100'000 + 500 * half));
                // Demand stops and starts, and a repeat is always wanted.
                auto const most = *rc::gen::element(0, 3, 60);
                int new_first = 0;
                int new_repeats = 0;
                for (auto& allowance : allowances)
                {
                    auto const calls = most == 0 ? 0 : most / 2;
                    for (int i = 0; i < calls; ++i)
                        allowance.on_first_attempt(service, now);
                    new_first += calls;
                    for (int i = 0; i < 60; ++i)
                        new_repeats +=
                            allowance.spend(service,
                                            {.level = i % 3, .cohort = i}, now)
                                ? 1
                                : 0;
                }
                first.push_back(new_first);
                repeats.push_back(new_repeats);
                auto const sum =
                    [&](std::vector<int> const& counts, std::size_t back)
                {
                    auto const end = counts.size() > back ? counts.size() - back
                                                          : std::size_t{0};
                    auto const begin = end > window ? end - window : 0;
                    int total = 0;
                    for (auto i = begin; i < end; ++i)
                        total += counts[i];
                    return total;
                };
                auto const base =
                    std::max({sum(first, 0), sum(first, window / 2),
                              sum(first, window)});
                RC_ASSERT(sum(repeats, 0) <= ratio * base + slack);
            }
        }));
}

TEST_CASE("the last repeats are for the most urgent calls")
{
    service_name const service("leaf");
    constexpr mono_time now{seconds{100}};
    retry_allowance allowance({.ratio = 0.2, .slack = 10});
    for (int i = 0; i < 100; ++i)
        allowance.on_first_attempt(service, now);
    int others = 0;
    while (allowance.spend(service, {.level = 4}, now))
        ++others;
    int urgent = 0;
    while (allowance.spend(service, {.level = 0}, now))
        ++urgent;
    CHECK(others > 0);
    CHECK(urgent > 0);
    CHECK(others + urgent <= 30);

    SUBCASE("and those that cannot be avoided are counted")
    {
        mono_time const later = now + seconds{11};
        for (int i = 0; i < 30; ++i)
            allowance.count(service, later);
        CHECK_FALSE(allowance.spend(service, {.level = 0}, later));
    }
}
