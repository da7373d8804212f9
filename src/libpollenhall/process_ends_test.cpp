// Tests when a process is held for gone.

#include <pollenhall/process_ends.hpp>

#include <doctest/doctest.h>

TEST_CASE("the end of a process")
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

    SUBCASE("is not known of one that lives, is silent or was never heard of")
    {
        CHECK_FALSE(ends.end_of(other, &peer));
        CHECK_FALSE(ends.end_of(other, nullptr));
        CHECK_FALSE(ends.end_of(self, nullptr));
        peer.life = peer_life::dead;
        CHECK_FALSE(ends.end_of(other, &peer));
    }
    SUBCASE("is known of this node's own predecessor")
    {
        roster_member const before{.node = self.node, .boot = boot_id(20'000)};
        CHECK(ends.end_of(before, nullptr) == at(50));
    }
    SUBCASE("is its successor's start")
    {
        peer.boot = boot_id(90'000);
        CHECK(ends.end_of(other, &peer) == at(90));

        SUBCASE("or the time when nothing listened any more")
        {
            ends.on_refused(other, at(88));
            ends.on_refused(other, at(89));
            CHECK(ends.end_of(other, &peer) == at(88));
        }
    }
    SUBCASE("is known without a successor once it is dead and nothing listens")
    {
        ends.on_refused(other, at(88));
        CHECK_FALSE(ends.end_of(other, &peer));
        peer.life = peer_life::dead;
        CHECK(ends.end_of(other, &peer) == at(88));
    }
}
