// Tests which crash suspicions a host publishes. Guards against suspicions that
// are lost when the node that observed a crash ends or is restarted.

#include <pollenhall/mesh/suspicion_ledger.hpp>

#include <doctest/doctest.h>

TEST_CASE("a crash suspicion")
{
    using namespace pollenhall;
    using namespace pollenhall::mesh;
    constexpr wall_time now{std::chrono::hours{500'000}};
    crash_suspicion const seen{.content = fingerprint(1),
                               .crash = crash_id(10),
                               .time_left = seconds{600}};
    suspicion_ledger ledger;

    SUBCASE("that this node reports is published at once")
    {
        CHECK(ledger.report({seen}, now).size() == 1);
        CHECK(ledger.report({seen}, now).empty());
        auto const published = ledger.published(now);
        REQUIRE(published.size() == 1);
        CHECK(published[0].expires == now + seconds{600});
        CHECK(ledger.published(now + seconds{5}) == published);

        SUBCASE("and by the next process on the host, from its entry")
        {
            suspicion_ledger restarted;
            CHECK(restarted.read_entry(published, true, now).size() == 1);
            CHECK(restarted.published(now) == published);
        }
        SUBCASE("until it expires")
        {
            CHECK(ledger.published(now + seconds{601}).empty());
        }
    }
    SUBCASE("that a peer sends is new once")
    {
        CHECK(ledger.hear({seen}, now).size() == 1);
        CHECK(ledger.hear({seen}, now).empty());
        CHECK(ledger.published(now).empty());
        CHECK(ledger.has_unpublished());

        SUBCASE("and is published if no host entry contains it in time")
        {
            CHECK_FALSE(ledger.adopt(now + milliseconds{900}));
            CHECK(ledger.adopt(now + milliseconds{1'100}));
            CHECK(ledger.published(now).size() == 1);
            CHECK_FALSE(ledger.has_unpublished());
        }
        SUBCASE("and is left to the host whose entry contains it")
        {
            CHECK(ledger
                      .read_entry({{.content = fingerprint(1),
                                    .crash = crash_id(10),
                                    .expires = now + seconds{600}}},
                                  false, now)
                      .empty());
            CHECK_FALSE(ledger.adopt(now + seconds{2}));
        }
    }
    SUBCASE("is new again once the crash is confirmed")
    {
        auto possible = seen;
        possible.confirmed = false;
        CHECK(ledger.hear({possible}, now).size() == 1);
        CHECK(ledger.hear({seen}, now).size() == 1);
        CHECK(ledger.hear({possible}, now).empty());
    }
    SUBCASE("does not outlast the longest lifetime")
    {
        published_suspicion const forged{.content = fingerprint(1),
                                         .crash = crash_id(10),
                                         .expires = wall_time::max()};
        ledger.read_entry({forged}, true, now);
        CHECK(ledger.published(now + seconds{3'601}).empty());
    }
    SUBCASE("that expires last is kept if there are too many")
    {
        suspicion_ledger small({.max_published = 2});
        for (int i = 0; i < 4; ++i)
            small.report({{.content = fingerprint(1),
                           .crash = crash_id(static_cast<std::uint64_t>(i)),
                           .time_left = seconds{100 + i}}},
                         now);
        auto const kept = small.published(now);
        REQUIRE(kept.size() == 2);
        CHECK(kept[0].crash == crash_id(3));
        CHECK(kept[1].crash == crash_id(2));
    }
    SUBCASE("of a request that ran at several crashes is kept before others")
    {
        suspicion_ledger small({.max_published = 2});
        auto const report =
            [&](std::uint64_t content, std::uint64_t crash, int lifetime)
        {
            small.report({{.content = fingerprint(content),
                           .crash = crash_id(crash),
                           .time_left = seconds{lifetime}}},
                         now);
        };
        report(1, 10, 100);
        report(1, 11, 101);
        for (std::uint64_t i = 0; i < 4; ++i)
            report(20 + i, 12, 200);
        auto const kept = small.published(now);
        REQUIRE(kept.size() == 2);
        CHECK(kept[0].content == fingerprint(1));
        CHECK(kept[1].content == fingerprint(1));
    }
}
