// Guards against declaring a process terminated that may still run, because a
// second home could then run the same key.

#include <pollenhall/process_ends.hpp>

#include <doctest/doctest.h>

TEST_CASE("termination of a process")
{
    using namespace pollenhall;
    auto const at = [](int second) { return wall_time(seconds{second}); };
    roster_member const self{.node = node_id("self"), .boot = boot_id(50'000)};
    roster_member const other{.node = node_id("other"),
                              .boot = boot_id(10'000)};
    process_ends ends(self, at(50));
    peer_info peer;
    peer.node = other.node;
    peer.boot = other.boot;

    SUBCASE(
        "is unknown if the process is alive, does not respond or is unknown")
    {
        CHECK_FALSE(ends.termination_time(other, &peer));
        CHECK_FALSE(ends.termination_time(other, nullptr));
        CHECK_FALSE(ends.termination_time(self, nullptr));
        peer.life = peer_liveness::dead;
        CHECK_FALSE(ends.termination_time(other, &peer));
    }
    SUBCASE("is known for the previous process of this node")
    {
        roster_member const previous{.node = self.node,
                                     .boot = boot_id(20'000)};
        CHECK(ends.termination_time(previous, nullptr) == at(50));
    }
    SUBCASE("is dated to the start of the next process of the node")
    {
        peer.boot = boot_id(90'000);
        CHECK(ends.termination_time(other, &peer) == at(90));

        SUBCASE("or to the first refused connection")
        {
            ends.on_connection_refused(other, at(88));
            ends.on_connection_refused(other, at(89));
            CHECK(ends.termination_time(other, &peer) == at(88));
        }
    }
    SUBCASE(
        "is known if the process is dead and its endpoint refuses connections")
    {
        ends.on_connection_refused(other, at(88));
        CHECK_FALSE(ends.termination_time(other, &peer));
        peer.life = peer_liveness::dead;
        CHECK(ends.termination_time(other, &peer) == at(88));
    }
}
