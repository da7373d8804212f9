// Tests which crash suspicions a node keeps in the store. Guards against
// suspicions that are lost when all nodes end at the same time, and against a
// store call of each node whenever one of them ends.

#include <pollenhall/kept_suspicions.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace pollenhall;

namespace
{

constexpr wall_time now{std::chrono::hours{500'000}};

crash_suspicion suspicion_of(std::uint64_t crash, bool confirmed)
{
    return {.content = fingerprint(1),
            .crash = crash_id(crash),
            .time_left = seconds{600},
            .confirmed = confirmed};
}

} // namespace

TEST_CASE("a node keeps in the store")
{
    kept_suspicions node;

    SUBCASE("a suspicion from a crash that it observed")
    {
        node.report(suspicion_of(1, true), now);
        node.report(suspicion_of(1, true), now);
        auto const kept = node.kept(now);
        REQUIRE(kept.size() == 1);
        CHECK(kept[0].expires == now + seconds{600});

        SUBCASE("until it expires")
        {
            CHECK(node.kept(now + seconds{600}).empty());
        }
        SUBCASE("and so does its next process")
        {
            kept_suspicions restarted;
            auto const live = restarted.load(kept, true, now + seconds{100});
            REQUIRE(live.size() == 1);
            CHECK(live[0].time_left == seconds{500});
            CHECK(restarted.kept(now + seconds{100}) == kept);
        }
        SUBCASE("which other nodes do not store again")
        {
            kept_suspicions other;
            CHECK(other.load(kept, false, now).size() == 1);
            CHECK(other.kept(now).empty());
        }
    }
    SUBCASE("nothing of a possible crash, which many nodes report")
    {
        node.report(suspicion_of(1, false), now);
        CHECK(node.kept(now).empty());

        SUBCASE("unless the request ran at another crash")
        {
            node.report(suspicion_of(2, false), now);
            CHECK(node.kept(now).size() == 2);
        }
        SUBCASE("unless a peer reports another crash")
        {
            node.hear(suspicion_of(2, true), now);
            CHECK(node.kept(now).size() == 2);
        }
    }
    SUBCASE("nothing that only peers have reported")
    {
        node.hear(suspicion_of(1, true), now);
        node.hear(suspicion_of(2, true), now);
        CHECK(node.kept(now).empty());
    }
    SUBCASE("a request that ran at several crashes rather than others")
    {
        node.report(suspicion_of(1, true), now);
        node.report(suspicion_of(2, true), now);
        for (std::uint64_t i = 0; i < max_kept_suspicions; ++i)
        {
            auto later = suspicion_of(3, true);
            later.content = fingerprint(100 + i);
            later.time_left = seconds{900};
            node.report(later, now);
        }
        auto const kept = node.kept(now);
        CHECK(kept.size() == max_kept_suspicions);
        CHECK(std::count_if(kept.begin(), kept.end(),
                            [](auto const& item)
                            { return item.content == fingerprint(1); }) == 2);
    }
    SUBCASE("no more than the limit")
    {
        for (std::uint64_t i = 0; i < 2 * max_kept_suspicions; ++i)
            node.report(suspicion_of(i, true), now);
        CHECK(node.kept(now).size() == max_kept_suspicions);
    }
}

TEST_CASE("stored crash suspicions")
{
    SUBCASE("are read as they were written")
    {
        rc::check(
            "format then parse",
            []
            {
                auto const item = rc::gen::map(
                    rc::gen::tuple(rc::gen::arbitrary<std::uint64_t>(),
                                   rc::gen::arbitrary<std::uint64_t>(),
                                   rc::gen::arbitrary<bool>(),
                                   rc::gen::positive<std::int64_t>()),
                    [](auto const& values)
                    {
                        return published_suspicion{
                            .content = fingerprint(std::get<0>(values)),
                            .crash = crash_id(std::get<1>(values)),
                            .confirmed = std::get<2>(values),
                            .expires =
                                wall_time(milliseconds(std::get<3>(values)))};
                    });
                auto const all =
                    *rc::gen::container<std::vector<published_suspicion>>(10,
                                                                          item);
                auto const parsed = parse_suspicions(format_suspicions(all));
                RC_ASSERT(parsed.ok());
                RC_ASSERT(*parsed == all);
            });
    }
    SUBCASE("of another writer are rejected with the line")
    {
        for (auto const* text :
             {"x", "1 2 1", "1 2 1 4", "1 2 2 4\n", "1 2 1 -4\n", "-1 2 1 4\n",
              "1 2 1 99999999999999999999\n", "1 2 1 4 \n", "[[[[[[[["})
            CHECK(parse_suspicions(text).status().code() ==
                  absl::StatusCode::kInvalidArgument);
        CHECK(parse_suspicions("1 2 1 4\n1 2 1 x\n").status().message() ==
              "line 2 is not a crash suspicion, or one too many");
    }
    SUBCASE("do not outlast the longest lifetime")
    {
        kept_suspicions node;
        auto const live = node.load(
            *parse_suspicions("1 2 1 9223372036854775807\n"), true, now);
        REQUIRE(live.size() == 1);
        CHECK(live[0].time_left == std::chrono::hours{1});
        CHECK(node.kept(now + seconds{3'601}).empty());
    }
}
