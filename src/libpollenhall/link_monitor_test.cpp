// Tests the detection of dead connections. Guards against calls that wait until
// their deadline for an answer because the peer or the network between has
// failed without closing the connection.

#include <pollenhall/link_monitor.hpp>

#include <doctest/doctest.h>

TEST_CASE("a connection with a pending answer")
{
    using namespace pollenhall;
    link_monitor monitor;
    constexpr mono_time start{seconds{1}};
    monitor.on_sent(start);
    CHECK(monitor.tick(start + milliseconds{100}) == link_action::none);
    CHECK(monitor.tick(start + milliseconds{260}) ==
          link_action::send_heartbeat);

    SUBCASE("is given up if the heartbeat is not answered in time")
    {
        CHECK(monitor.tick(start + milliseconds{700}) == link_action::none);
        CHECK(monitor.tick(start + milliseconds{800}) == link_action::give_up);
    }
    SUBCASE("is kept if any data arrives")
    {
        monitor.on_received(start + milliseconds{300});
        CHECK(monitor.tick(start + milliseconds{500}) == link_action::none);
        CHECK(monitor.tick(start + milliseconds{560}) ==
              link_action::send_heartbeat);
    }
    SUBCASE("accepts calls only while the peer is known to read")
    {
        CHECK_FALSE(monitor.may_send_calls());
        monitor.on_received(start + milliseconds{300});
        CHECK(monitor.may_send_calls());
        CHECK(monitor.tick(start + milliseconds{560}) ==
              link_action::send_heartbeat);
        CHECK_FALSE(monitor.may_send_calls());
        monitor.on_received(start + milliseconds{570});
        CHECK(monitor.may_send_calls());
    }
    SUBCASE("gets no heartbeat once no answer is pending")
    {
        monitor.on_received(start + milliseconds{300});
        monitor.on_settled();
        CHECK(monitor.tick(start + seconds{60}) == link_action::none);
    }
}
