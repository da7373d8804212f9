// Tests the outcome history and the burn rates and overload episodes derived
// from it. Wrong windows, or sums that depend on which node received a request,
// would raise false alerts on error budget burn or miss real ones.

#include <pollenhall/burn_history.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace
{

using namespace pollenhall;

burn_key make_key(char const* kind,
                  measurement_point place = measurement_point::entry)
{
    return {.member = member_name("m"),
            .kind = {service_name("s"), kind_name(kind)},
            .place = place};
}

wall_time at_second(std::int64_t second)
{
    return wall_time(seconds{1'000'000'020 + second});
}

end_counts in_window(burn_history const& history, burn_key const& key,
                     burn_window window, wall_time now)
{
    return history.windows(key.member, now)
        .at(key)
        .at(static_cast<std::size_t>(window));
}

} // namespace

TEST_CASE("a history of outcomes")
{
    burn_history history({.max_rows = 2, .second_retention = seconds{600}});
    auto const orders = make_key("order");
    auto const lookups = make_key("lookup");
    history.note(orders, importance::critical, request_end::in_time,
                 at_second(0));
    history.note(lookups, importance::normal, request_end::shed, at_second(1));

    SUBCASE("counts an outcome in each window that covers its minute")
    {
        auto const now = at_second(600);
        CHECK(
            in_window(history, orders, burn_window::minutes_5, now).judged() ==
            0);
        CHECK(
            in_window(history, orders, burn_window::minutes_30, now).judged() ==
            1);
        CHECK(in_window(history, lookups, burn_window::hours_6, now).bad() ==
              1);
        CHECK(
            in_window(history, orders, burn_window::hours_6, at_second(21'600))
                .judged() == 0);
    }
    SUBCASE("counts important requests completed while lower ones were shed")
    {
        history.note(orders, importance::critical, request_end::in_time,
                     at_second(60));
        CHECK(history.kept_while_shedding(member_name("m"), at_second(70)) ==
              1);
    }
    SUBCASE("limits its rows and counts the outcomes it left out")
    {
        history.note(make_key("third"), importance::normal,
                     request_end::in_time, at_second(2));
        CHECK(history.left_out() == 1);
        CHECK(history.windows(member_name("m"), at_second(2)).size() == 2);
    }
    SUBCASE("omits requests of other members")
    {
        CHECK(history.windows(member_name("n"), at_second(1)).empty());
        CHECK(history.seconds_of(member_name("n"), at_second(1)).empty());
    }
}

TEST_CASE("an outcome is classified by the result for the caller")
{
    CHECK(classify_end(outcome::completed, {}, 200, true) ==
          request_end::in_time);
    CHECK(classify_end(outcome::completed, {}, 502, true) ==
          request_end::failed);
    CHECK(classify_end(outcome::completed, {}, 200, false) ==
          request_end::late);
    CHECK(classify_end(outcome::unknown, {}, 0, true) == request_end::unknown);
    CHECK(classify_end(outcome::not_run, refusal::shed, 0, true) ==
          request_end::shed);
    CHECK(classify_end(outcome::not_run, refusal::home_gone, 0, true) ==
          request_end::unavailable);
    CHECK(classify_end(outcome::not_run, refusal::cancelled, 0, true) ==
          request_end::not_judged);
}

TEST_CASE("burn rates and budgets")
{
    end_counts counts;
    CHECK(burn_rate(counts, 0.99) == 0);
    counts.by_end[static_cast<std::size_t>(request_end::in_time)] = 98;
    counts.by_end[static_cast<std::size_t>(request_end::unknown)] = 2;
    counts.by_end[static_cast<std::size_t>(request_end::not_judged)] = 50;
    CHECK(burn_rate(counts, 0.99) == doctest::Approx(2));
    CHECK(budget_left(counts, 0.99) == doctest::Approx(-1));
    CHECK(budget_left(counts, 0.96) == doctest::Approx(0.5));
}

TEST_CASE("overload episodes")
{
    std::vector<second_counts> seconds;
    for (std::int64_t second = 0; second < 30; ++second)
        seconds.push_back({.second = second, .ended = 100, .in_time = 100});
    CHECK(find_episodes(seconds).empty());
    for (std::int64_t second = 5; second < 12; ++second)
        seconds[static_cast<std::size_t>(second)].shed = 10;

    SUBCASE("end with the last second of shedding")
    {
        auto const episodes = find_episodes(seconds);
        REQUIRE(episodes.size() == 1);
        CHECK(episodes[0] == overload_episode{.start_second = 5,
                                              .end_second = 11,
                                              .recovery_s = 0});
    }
    SUBCASE("continue through a short pause of shedding")
    {
        seconds[8].shed = 0;
        seconds[9].shed = 0;
        CHECK(find_episodes(seconds).size() == 1);
    }
    SUBCASE("report the time until requests complete in time again")
    {
        seconds[12].in_time = 0;
        seconds[13].in_time = 0;
        CHECK(find_episodes(seconds)[0].recovery_s == 2);
    }
    SUBCASE("report no recovery until one is observed")
    {
        seconds.resize(14);
        CHECK_FALSE(find_episodes(seconds)[0].recovery_s);
    }
}

TEST_CASE("the counts of several nodes add up to those of one node")
{
    rc::check(
        "sums do not depend on which node received a request",
        []
        {
            auto const ends = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, static_cast<int>(request_end_count)));
            burn_history whole;
            std::array<burn_history, 3> parts;
            for (std::size_t i = 0; i < ends.size(); ++i)
            {
                auto const end = static_cast<request_end>(ends[i]);
                auto const now = at_second(static_cast<std::int64_t>(i) * 7);
                whole.note(make_key("k"), importance::high, end, now);
                auto& part =
                    parts[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
                part.note(make_key("k"), importance::high, end, now);
            }
            auto const now =
                at_second(static_cast<std::int64_t>(ends.size()) * 7);
            std::map<burn_key, window_counts> sum;
            for (auto const& part : parts)
            {
                for (auto const& [key, counts] :
                     part.windows(member_name("m"), now))
                {
                    for (std::size_t i = 0; i < counts.size(); ++i)
                        sum[key][i] += counts[i];
                }
            }
            RC_ASSERT(sum == whole.windows(member_name("m"), now));
        });
}
