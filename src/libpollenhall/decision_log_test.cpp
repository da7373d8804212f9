// Tests the ring of decisions and the rights of operators.

#include <pollenhall/decision_log.hpp>
#include <pollenhall/operator_rights.hpp>

#include <doctest/doctest.h>

using namespace pollenhall;

TEST_CASE("a log of decisions")
{
    decision_log log(3);
    auto const add = [&](char const* trace, decision_point point)
    {
        decision_record record;
        record.trace_id = trace;
        record.point = point;
        log.add(record);
    };
    add("a", decision_point::upstream);
    add("b", decision_point::entry);
    add("a", decision_point::entry);

    SUBCASE("finds those on one trace in their order")
    {
        auto const found = log.find("a");
        REQUIRE(found.size() == 2);
        CHECK(found[0].point == decision_point::upstream);
        CHECK(found[1].point == decision_point::entry);
        CHECK(log.find("c").empty());
    }
    SUBCASE("forgets the oldest first")
    {
        add("b", decision_point::attempt);
        CHECK(log.find("a").size() == 1);
        add("b", decision_point::home);
        auto const found = log.find("b");
        REQUIRE(found.size() == 2);
        CHECK(found[0].point == decision_point::attempt);
        CHECK(found[1].point == decision_point::home);
    }
}

TEST_CASE("rights of operators")
{
    member_name const own("own");
    member_name const other("other");

    SUBCASE("a member's operator has its rights for that member only")
    {
        operator_identity const who{
            .name = "own/ann", .member = own, .rights = {operator_right::read}};
        CHECK(who.may(operator_right::read, own));
        CHECK_FALSE(who.may(operator_right::change, own));
        CHECK_FALSE(who.may(operator_right::read, other));
    }
    SUBCASE("the platform may do everything")
    {
        operator_identity const who{
            .name = "platform", .member = {}, .rights = {}};
        CHECK(who.may(operator_right::operate, other));
    }
    SUBCASE("names survive being written and read")
    {
        for (auto const right : {operator_right::read, operator_right::change,
                                 operator_right::operate})
            CHECK(parse_operator_right(to_string(right)) == right);
        CHECK_FALSE(parse_operator_right("own"));
    }
}
