// Tests parsing, checking and interpreting state charts, and the lifecycle of
// an upstream. Guards against a faulty chart that is accepted, and against an
// upstream that gets calls while it is draining or has stopped renewing.

#include <pollenhall/state_chart.hpp>
#include <pollenhall/upstream_life.hpp>

#include <doctest/doctest.h>

namespace
{

using namespace pollenhall;

std::string const valid_chart = "[chart]\n"
                                "initial = off\n"
                                "events = press, hold\n"
                                "flags = lit\n"
                                "[state off]\n"
                                "code = 0\n"
                                "press = on\n"
                                "[state on]\n"
                                "code = 1\n"
                                "lit = yes\n"
                                "press = off\n";

std::string findings_in(std::string const& text)
{
    finding_list findings;
    state_chart::parse("chart.ini", text, findings);
    std::string all;
    for (auto const& item : findings.items())
        all += to_string(item) + "\n";
    return all;
}

} // namespace

TEST_CASE("a state chart")
{
    finding_list findings;
    auto const chart = state_chart::parse("chart.ini", valid_chart, findings);
    REQUIRE(findings.empty());

    SUBCASE("changes its state on an event")
    {
        auto const on = chart.next(chart.initial(), "press");
        REQUIRE(on.has_value());
        CHECK(chart.name(*on) == "on");
        CHECK(chart.has_flag(*on, "lit"));
        CHECK_FALSE(chart.has_flag(chart.initial(), "lit"));
    }
    SUBCASE("has no transition for an event that the state does not accept")
    {
        CHECK_FALSE(chart.next(chart.initial(), "hold").has_value());
        CHECK_FALSE(chart.next(state_code(9), "press").has_value());
        CHECK(chart.name(state_code(9)) == "unknown");
    }
}

TEST_CASE("findings of a chart name the file and line")
{
    CHECK(findings_in(valid_chart + "[state attic]\ncode = 2\n") ==
          "chart.ini:12: state 'attic' cannot be reached from 'off'\n");
    CHECK(findings_in(valid_chart + "shake = off\n") ==
          "chart.ini:12: event or flag 'shake' is not defined\n");
    CHECK(findings_in(valid_chart + "hold = cellar\n") ==
          "chart.ini:12: state 'cellar' is not defined\n");
    CHECK(findings_in("[chart]\ninitial = gone\n")
              .find("initial state 'gone' is not defined") !=
          std::string::npos);
    CHECK(findings_in(valid_chart + "[state again]\ncode = 1\n")
              .find("code 1 belongs to another state") != std::string::npos);
}

TEST_CASE("the lifecycle of an upstream")
{
    finding_list findings;
    auto const chart = state_chart::parse(
        "upstream.ini",
        "[chart]\ninitial = absent\n"
        "events = announced, warmed, drain, silent\n"
        "flags = accepts-work, warming-up\n"
        "[state absent]\ncode = 0\nannounced = warming\n"
        "[state warming]\ncode = 1\naccepts-work = yes\nwarming-up = yes\n"
        "announced = warming\nwarmed = serving\ndrain = draining\n"
        "silent = absent\n"
        "[state serving]\ncode = 2\naccepts-work = yes\ndrain = draining\n"
        "silent = absent\n"
        "[state draining]\ncode = 3\nsilent = absent\n",
        findings);
    REQUIRE(findings.empty());
    upstream_life life(chart, {.lease = seconds{3}, .warm_up = seconds{2}});
    mono_time const start{seconds{10}};
    CHECK_FALSE(life.accepts_work());
    life.on_announced(start);
    CHECK(life.accepts_work());
    CHECK(life.is_warming_up());

    SUBCASE("it serves after the warm-up time")
    {
        life.tick(start + milliseconds{2'100});
        CHECK(life.name() == "serving");
    }
    SUBCASE("it is absent if it does not renew")
    {
        life.tick(start + seconds{4});
        CHECK(life.name() == "absent");
    }
    SUBCASE("a renewal does not end a drain")
    {
        CHECK(life.fire("drain"));
        life.on_announced(start + seconds{1});
        CHECK_FALSE(life.accepts_work());
        CHECK(life.name() == "draining");
    }
}
