// Tests that parsing declarations reports every error of a folder, each with
// its line, and that arbitrary input never makes the parser fail. A check that
// is missed would let a faulty declaration come into force on all nodes.

#include <pollenhall/declarations.hpp>
#include <pollenhall/ini_document.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace
{

using namespace pollenhall;

std::vector<declaration_file> make_folder(std::string service)
{
    return {{.path = "member.ini",
             .text = "[member]\nname = vanderhoek\n[zone surrey]\n"
                     "trip = 1500us\n"},
            {.path = "services/orders.ini", .text = std::move(service)}};
}

std::string const good_service = "[service]\n"
                                 "name = orders\n"
                                 "slots = 180\n"
                                 "[kind place]\n"
                                 "importance = critical\n"
                                 "repeatable = no\n"
                                 "deadline = 2s\n"
                                 "retries = 3\n";

std::vector<finding> parse_findings(std::string service)
{
    finding_list findings;
    parse_declarations(make_folder(std::move(service)), findings);
    return findings.items();
}

bool has(std::vector<finding> const& findings, int line, std::string_view part)
{
    return std::any_of(findings.begin(), findings.end(),
                       [&](finding const& item) {
                           return item.line == line &&
                                  item.message.find(part) != std::string::npos;
                       });
}

} // namespace

TEST_CASE("a valid folder is parsed completely")
{
    finding_list findings;
    auto const member = parse_declarations(make_folder(good_service), findings);
    REQUIRE(findings.empty());
    CHECK(member.name == member_name("vanderhoek"));
    CHECK(member.zones.at(0).one_way_latency == microseconds{1'500});
    auto const& service = member.services.at(0);
    CHECK(service.owner == member.name);
    auto const* const kind = service.find(kind_name("place"));
    REQUIRE(kind != nullptr);
    CHECK(kind->level == importance::critical);
    CHECK_FALSE(kind->repeatable);
    CHECK(kind->deadline == milliseconds{2'000});
    CHECK(kind->retries == retry_count(3));
}

TEST_CASE("each error is reported with its line")
{
    SUBCASE("an unknown key")
    {
        CHECK(has(parse_findings(good_service + "colour = red\n"), 9,
                  "unknown key 'colour'"));
    }
    SUBCASE("a duplicate section, also if it directly follows the first")
    {
        CHECK(has(parse_findings(good_service + "[kind place]\n"), 9,
                  "occurs twice"));
    }
    SUBCASE("a duplicate key")
    {
        CHECK(has(parse_findings(good_service + "retries = 3\n"), 9,
                  "occurs twice"));
    }
    SUBCASE("a duration without a unit")
    {
        CHECK(has(parse_findings("[service]\nname = orders\n[kind place]\n"
                                 "deadline = 250\n"),
                  4, "with unit us, ms, s, min or h"));
    }
    SUBCASE("a number out of range")
    {
        CHECK(has(parse_findings("[service]\nname = orders\n[kind place]\n"
                                 "retries = 99\n"),
                  4, "from 0 to 16"));
    }
    SUBCASE("a call to an undeclared service")
    {
        CHECK(has(parse_findings(good_service + "calls = stock/reserve\n"), 9,
                  "no service 'stock' is declared"));
    }
    SUBCASE("a cycle of calls")
    {
        CHECK(has(parse_findings(good_service + "calls = orders/place\n"), 1,
                  "cycle: orders -> orders"));
    }
    SUBCASE("text that is not UTF-8")
    {
        CHECK(has(parse_findings(good_service + "objective = \xff\n"), 9,
                  "not valid UTF-8"));
    }
    SUBCASE("a line above the length limit")
    {
        CHECK(has(parse_findings(good_service +
                                 "objective = " + std::string(300, '9') + "\n"),
                  9, "line has 313 bytes"));
    }
    SUBCASE("an empty file")
    {
        CHECK(has(parse_findings(" \n"), 0, "file is empty"));
    }
    SUBCASE("a file above the size limit")
    {
        CHECK(has(parse_findings(std::string(2'000'000, '\n')), 0,
                  "file has 2000000 bytes"));
    }
    SUBCASE("a line that is not INI syntax")
    {
        CHECK(has(parse_findings(good_service + "nonsense\n"), 9,
                  "no [section], 'key = value' or comment"));
    }
    SUBCASE("a service without a kind")
    {
        CHECK(has(parse_findings("[service]\nname = orders\n"), 0,
                  "service has no kind"));
    }
    SUBCASE("a file whose name differs from its service")
    {
        CHECK(has(parse_findings("[service]\nname = stock\n[kind a]\n"), 2,
                  "must be declared in services/stock.ini"));
    }
    SUBCASE("several errors in one file")
    {
        auto const found =
            parse_findings("[service]\nname = Orders!\nslots = 0\n"
                           "[kind place]\nimportance = huge\n"
                           "deadline = soon\nbogus = 1\n");
        CHECK(has(found, 2, "name of 1 to 63"));
        CHECK(has(found, 3, "from 1 to 100000"));
        CHECK(has(found, 5, "sheddable, normal, high, critical"));
        CHECK(has(found, 6, "expected a duration"));
        CHECK(has(found, 7, "unknown key 'bogus'"));
    }
}

TEST_CASE("a missing member file is reported")
{
    finding_list findings;
    parse_declarations({}, findings);
    CHECK(has(findings.items(), 0, "file is missing"));
}

TEST_CASE("arbitrary text never makes the parser fail")
{
    CHECK(rc::check(
        "any bytes result in findings or declarations",
        []
        {
            auto const pieces =
                *rc::gen::container<std::vector<std::string>>(rc::gen::oneOf(
                    rc::gen::element<std::string>(
                        "[service]", "[kind ", "]", "\n", "=", "name = a\n",
                        "[kind x]\n", "calls = a/x, b/y\n", ";", "#",
                        "\xc3\xa9", "deadline = 9999999999999999999999s\n"),
                    rc::gen::arbitrary<std::string>()));
            std::string text;
            for (auto const& piece : pieces)
                text += piece;
            finding_list findings;
            std::vector<declaration_file> const files{
                {.path = "member.ini", .text = text},
                {.path = "services/a.ini", .text = text}};
            parse_declarations(files, findings);
            for (auto const& item : findings.items())
                RC_ASSERT(is_valid_utf8(item.path));
        }));
}
