// Tests that what is held is what the charges add up to.

#include <pollenhall/mesh/byte_budget.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace pollenhall::mesh;

TEST_CASE("a budget of 100 bytes")
{
    byte_budget budget(100);
    auto first = std::make_unique<byte_budget::charge>(budget);
    byte_budget::charge second(budget);
    first->set(60);
    CHECK_FALSE(budget.exhausted());
    second.set(40);
    CHECK(budget.exhausted());

    SUBCASE("has room again when a charge shrinks")
    {
        second.set(10);
        CHECK_FALSE(budget.exhausted());
        CHECK(budget.held() == 70);
    }
    SUBCASE("has room again when a connection ends")
    {
        first.reset();
        CHECK(budget.held() == 40);
    }
}
