// Guards against decisions that are returned out of order or lost before the
// buffer is full, and against operators that act outside their rights.

#include <pollenhall/decision_log.hpp>
#include <pollenhall/operator_rights.hpp>

#include <doctest/doctest.h>

using namespace pollenhall;

TEST_CASE("the decision log")
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

    SUBCASE("returns the decisions on a trace in order")
    {
        auto const found = log.find("a");
        REQUIRE(found.size() == 2);
        CHECK(found[0].point == decision_point::upstream);
        CHECK(found[1].point == decision_point::entry);
        CHECK(log.find("c").empty());
    }
    SUBCASE("overwrites the oldest decision first")
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

TEST_CASE("operator rights")
{
    member_name const own("own");
    member_name const other("other");

    SUBCASE("a member's operator has rights for that member only")
    {
        operator_identity const identity{
            .name = "own/ann", .member = own, .rights = {operator_right::read}};
        CHECK(identity.may(operator_right::read, own));
        CHECK_FALSE(identity.may(operator_right::change, own));
        CHECK_FALSE(identity.may(operator_right::read, other));
    }
    SUBCASE("the platform has all rights")
    {
        operator_identity const identity{
            .name = "platform", .member = {}, .rights = {}};
        CHECK(identity.may(operator_right::operate, other));
    }
    SUBCASE("names are parsed back to their rights")
    {
        for (auto const right : {operator_right::read, operator_right::change,
                                 operator_right::operate})
            CHECK(parse_operator_right(to_string(right)) == right);
        CHECK_FALSE(parse_operator_right("own"));
    }
}
