// Tests trace contexts, idempotency keys and ranks. Guards against malformed
// headers and keys that are accepted, and against hops that rank the same
// request differently.

#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/request_rank.hpp>
#include <pollenhall/trace_context.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

TEST_CASE("a trace context")
{
    using namespace pollenhall;
    std::string const parent =
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

    SUBCASE("is parsed from a valid header")
    {
        auto const context = parse_trace_context(parent, "");
        REQUIRE(context.has_value());
        CHECK(context->trace_id == "4bf92f3577b34da6a3ce929d0e0e4736");
        CHECK_FALSE(context->parent_hop.has_value());
    }
    SUBCASE("contains the hop if tracestate also has entries of other vendors")
    {
        auto const context = parse_trace_context(
            parent, "vendor=1," + format_tracestate(hop_id{42}));
        REQUIRE(context.has_value());
        CHECK(context->parent_hop == hop_id{42});
    }
    SUBCASE("is not parsed from a malformed header")
    {
        for (auto const* text :
             {"", "00-0-0-01",
              "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
              "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
              "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"})
            CHECK_FALSE(parse_trace_context(text, "").has_value());
    }
    SUBCASE("is the same after formatting and parsing")
    {
        CHECK(rc::check(
            "format then parse",
            []
            {
                auto const id =
                    make_trace_id(*rc::gen::arbitrary<std::uint64_t>(),
                                  *rc::gen::arbitrary<std::uint64_t>());
                hop_id const hop{*rc::gen::inRange<std::uint64_t>(1, ~0ULL)};
                auto const context = parse_trace_context(
                    format_traceparent(id, hop), format_tracestate(hop));
                RC_ASSERT(context.has_value());
                RC_ASSERT(context->trace_id == id);
                RC_ASSERT(context->parent_hop == hop);
            }));
    }
}

TEST_CASE("an idempotency key")
{
    using namespace pollenhall;
    SUBCASE("contains its time of issue")
    {
        // The example of RFC 9562, appendix A.6.
        auto const key =
            idempotency_key::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
        REQUIRE(key.has_value());
        CHECK(key->issued() == wall_time(milliseconds{1'645'557'742'000}));
        CHECK(key->text() == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    }
    SUBCASE("may be enclosed in quotes")
    {
        CHECK(idempotency_key::parse("\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\"")
                  .has_value());
    }
    SUBCASE("must be a UUID of version 7")
    {
        for (auto const* text :
             {"", "order-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
              "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
              "017f22e279b07cc398c4dc0c0c07398f"})
            CHECK_FALSE(idempotency_key::parse(text).has_value());
    }
}

TEST_CASE("the rank of a request")
{
    using namespace pollenhall;
    CHECK(rc::check(
        "orders by class, then completed hops, then cohort",
        []
        {
            auto const level = *rc::gen::inRange(0, importance_count - 1);
            auto const cohort = *rc::gen::inRange(0, cohort_count);
            auto const other = *rc::gen::inRange(0, cohort_count);
            auto const work = *rc::gen::inRange(0, 30);
            auto const lower = static_cast<importance>(level);
            auto const higher = static_cast<importance>(level + 1);
            RC_ASSERT(rank_of(higher, cohort, 0) > rank_of(lower, other, work));
            RC_ASSERT(rank_of(lower, cohort, 1) > rank_of(lower, other, 0));
            RC_ASSERT(class_of(rank_of(lower, cohort, work)) == lower);
            // A caller admits exactly the requests that the next hop admits.
            auto const threshold = rank_of(lower, other, 1);
            RC_ASSERT((rank_of(lower, cohort, 0) >=
                       threshold_for_callers(threshold)) ==
                      (rank_of(lower, cohort, 1) >= threshold));
        }));
}
