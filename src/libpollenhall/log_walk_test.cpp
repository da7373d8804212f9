// Tests the way from a request's id to its cause.

#include <pollenhall/log_walk.hpp>

#include <doctest/doctest.h>

using namespace pollenhall;

namespace
{

std::vector<log_line> read(std::vector<std::string> const& texts)
{
    std::vector<log_line> lines;
    lines.reserve(texts.size());
    for (auto const& text : texts)
        lines.push_back(parse_log_line("node-1", text));
    return lines;
}

} // namespace

TEST_CASE("a log line")
{
    auto const line = parse_log_line(
        "n", R"(ts=2026-12-04T14:00:00.000Z event=store_lost )"
             R"(error="broken \"End\" of file" revision=7 stray)");

    SUBCASE("has its values by name, quoted ones whole")
    {
        CHECK(line.field("event") == "store_lost");
        CHECK(line.field("error") == "broken \"End\" of file");
        CHECK(line.field("revision") == "7");
    }
    SUBCASE("has nothing under other names")
    {
        CHECK(line.field("id").empty());
        CHECK(line.field("stray").empty());
    }
    SUBCASE("that is cut off or empty is read as far as it goes")
    {
        CHECK(parse_log_line("n", "a=\"b").field("a") == "b");
        CHECK(parse_log_line("n", "").fields.empty());
        CHECK(parse_log_line("n", "a=").field("a").empty());
    }
}

TEST_CASE("a failed request")
{
    std::string const day = "ts=2026-12-04T";
    auto const lines = read(
        {day +
             "14:00:03.000Z event=call_not_served id=7f.0.1 reason=waited_out",
         day + "14:00:03.020Z event=call_answered id=7f status=500",
         day + "14:00:03.010Z event=call_answered id=7f.0 status=500",
         day + "14:00:03.010Z event=call_not_served id=7fa reason=x",
         day + "14:00:02.000Z event=node_stopping signal=15",
         day + "13:59:00.000Z event=node_started",
         day + "14:00:04.000Z event=node_stopped"});
    auto const walk = walk_logs(lines, "7f");

    SUBCASE("is followed into its calls, and into no other request")
    {
        CHECK(walk.lines.size() == 4);
        CHECK(walk.failed_call == "7f.0.1");
        CHECK(walk.reason == "waited_out");
    }
    SUBCASE("is told in order, with what changed shortly before")
    {
        CHECK(walk.lines.front().field("event") == "node_stopping");
        CHECK(walk.lines.back().field("id") == "7f");
    }
    SUBCASE("that no log knows gives nothing")
    {
        CHECK(walk_logs(lines, "8").lines.empty());
    }
}
