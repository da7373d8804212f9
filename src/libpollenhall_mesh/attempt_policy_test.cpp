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
            int offered = 0;
            bool may_have_run = false;
            for (int i = 0; i < 20; ++i)
            {
                auto const end = *rc::gen::element(
                    attempt_end::answered, attempt_end::not_offered,
                    attempt_end::not_run, attempt_end::unknown,
                    attempt_end::timed_out);
                if (end != attempt_end::not_offered)
                    ++offered;
                if (end == attempt_end::unknown ||
                    end == attempt_end::timed_out)
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
                    !(step == next_step::repeat && offered >= limits.attempts));
                RC_ASSERT((step == next_step::deliver) ==
                          (end == attempt_end::answered));
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
            constexpr std::size_t window = 10;
            auto const nodes = *rc::gen::inRange<std::size_t>(1, 13);
            service_name const service("leaf");
            std::vector<retry_allowance> allowances(
                nodes, retry_allowance({.ratio = ratio, .slack = slack}));
            for (auto& allowance : allowances)
                allowance.set_nodes(nodes);
            std::deque<std::pair<int, int>> seconds;
            for (int second = 0; second < 30; ++second)
            {
                int first = 0;
                int repeats = 0;
                for (auto& allowance : allowances)
                {
                    auto const calls = *rc::gen::inRange(0, 60);
                    for (int i = 0; i < calls; ++i)
                    {
                        allowance.on_first_attempt(service);
                        ++first;
                        // Everything fails, and a repeat is always wanted.
                        repeats += allowance.spend(service) ? 1 : 0;
                    }
                }
                seconds.emplace_back(first, repeats);
                if (seconds.size() > window)
                    seconds.pop_front();
                int all_first = 0;
                int all_repeats = 0;
                for (auto const& [f, r] : seconds)
                {
                    all_first += f;
                    all_repeats += r;
                }
                RC_ASSERT(all_repeats <= ratio * all_first + slack);
            }
        }));
}
