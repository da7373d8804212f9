// Tests the requests for store changes between nodes, and the reports that
// answer them, with peers of this and of the earlier build. Guards against a
// peer that is held although it has missed a return of the store from an older
// copy, and against a configuration that the store has lost and nodes that have
// just started do not get.

#include "change_feed.hpp"
#include "client_pool.hpp"
#include "free_address.hpp"
#include "listener.hpp"

#include <pollenhall/io/clocks.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace pollenhall;
using namespace pollenhall::sidecar;

// A held request waits much longer than one that is answered at once.
constexpr milliseconds long_wait{3'000};
constexpr milliseconds at_once{500};

store_item put(std::string key, std::int64_t revision, store_era era)
{
    return {.key = std::move(key),
            .value = "value",
            .revision = store_revision(revision, era)};
}

/// A feed that serves a mirror over HTTP, and a peer that sends requests.
struct served_feed
{
    served_feed()
    {
        REQUIRE(opened.ok());
        mirror.apply({.items = {put("a", 3, era)},
                      .revision = store_revision(3, era),
                      .complete = true});
        mirror.apply(
            {.items = {put("b", 5, era)}, .revision = store_revision(5, era)});
        feed.set_current(true);
        feed.set_later_era_handler([this](mesh::host_address const& host)
                                   { ahead.push_back(host); });
    }

    /// Sends a request; its response is kept.
    void send(std::string const& target)
    {
        response.reset();
        mesh::http_request request{.method = "GET", .target = target};
        request.fields.add("Host", "peer");
        peer->start({.bytes = mesh::write_request(request),
                     .deadline = mono_now() + 2 * long_wait,
                     .on_end = [this](exchange_result result)
                     { response = std::move(result.response); }});
    }
    bool is_answered_within(milliseconds time)
    {
        auto const end = mono_now() + time;
        while (!response && mono_now() < end)
            context.run_one_for(milliseconds{5});
        return response.has_value();
    }
    bool is_held() { return !is_answered_within(milliseconds{50}); }
    /// The report of a response that comes at once.
    change_report get_report()
    {
        REQUIRE(is_answered_within(at_once));
        REQUIRE(response->status == 200);
        auto report = parse_changes(response->body);
        REQUIRE(report.ok());
        return *report;
    }
    change_report request(changes_request const& wanted)
    {
        send(changes_target(wanted));
        return get_report();
    }

    asio::io_context context{1};
    deadline_timers timers{context};
    store_era const era{2};
    mesh::store_mirror mirror;
    change_feed feed{timers, mirror};
    asio::ip::tcp::endpoint address = testing::free_address();
    listener peers{context, timers, feed.handlers()};
    absl::Status opened = peers.open(address);
    std::shared_ptr<client_pool> peer = std::make_shared<client_pool>(
        context, timers, address, client_pool_options{});
    std::optional<mesh::http_response> response;
    // Peers that know a later era.
    std::vector<mesh::host_address> ahead;
};

} // namespace

TEST_CASE("a report of changes")
{
    store_era const era(3);
    change_report const report{
        .changes = {.items = {put("a", 8, era),
                              {.key = "b",
                               .value = std::nullopt,
                               .revision = store_revision(9, era)}},
                    .revision = store_revision(9, era),
                    .complete = true},
        .current = true};

    SUBCASE("is read as it was written")
    {
        auto sent = report;
        SUBCASE("without a configuration") {}
        SUBCASE("with one")
        {
            sent.newer_configuration = "{}";
        }
        auto const read = parse_changes(write_changes(sent));
        REQUIRE(read.ok());
        CHECK(read->changes.items == sent.changes.items);
        CHECK(read->changes.revision == sent.changes.revision);
        CHECK(read->changes.complete);
        CHECK(read->current);
        CHECK(read->newer_configuration == sent.newer_configuration);
    }
    SUBCASE("of a node of the earlier build is of the first era")
    {
        auto const read =
            parse_changes(R"({"at":9,"complete":false,"current":true,)"
                          R"("items":[["a",8,"value"],["b",9,null]]})");
        REQUIRE(read.ok());
        CHECK(read->changes.revision == store_revision(9));
        REQUIRE(read->changes.items.size() == 2);
        CHECK(read->changes.items[0] == put("a", 8, store_era()));
        CHECK(read->changes.items[1].revision == store_revision(9));
        CHECK_FALSE(read->changes.items[1].value.has_value());
        CHECK_FALSE(read->newer_configuration.has_value());
    }
    SUBCASE("has all that a node of the earlier build reads")
    {
        auto const written = nlohmann::json::parse(write_changes(report));
        CHECK(written.at("at") == 9);
        CHECK(written.at("complete") == true);
        CHECK(written.at("current") == true);
        CHECK(written.at("items") ==
              nlohmann::json::parse(R"([["a",8,"value"],["b",9,null]])"));
        CHECK_FALSE(written.contains("configuration"));
    }
    SUBCASE("is rejected if it is malformed")
    {
        for (
            std::string const text :
            {R"()", R"([])", R"({"complete":true,"current":true,"items":[]})",
             R"({"at":1,"era":"2","complete":true,"current":true,"items":[]})",
             R"({"at":1,"era":null,"complete":true,"current":true,"items":[]})",
             R"({"at":1,"complete":true,"current":true,"items":[],"configuration":{}})"})
        {
            CAPTURE(text);
            CHECK(absl::IsInvalidArgument(parse_changes(text).status()));
        }
    }
}

TEST_CASE("a peer that requests changes")
{
    served_feed node;
    store_revision const known(5, node.era);

    SUBCASE("is held until there are some")
    {
        node.send(changes_target({.after = known, .wait = long_wait}));
        REQUIRE(node.is_held());
        node.mirror.apply({.items = {put("c", 6, node.era)},
                           .revision = store_revision(6, node.era)});
        node.feed.on_change();
        auto const report = node.get_report();
        CHECK_FALSE(report.changes.complete);
        CHECK(report.changes.items == std::vector{put("c", 6, node.era)});
        CHECK(report.changes.revision == store_revision(6, node.era));
        CHECK(report.current);
    }
    SUBCASE("is held until the store is read in a later era")
    {
        node.send(changes_target({.after = known, .wait = long_wait}));
        REQUIRE(node.is_held());
        store_era const later(3);
        node.mirror.apply({.items = {put("a", 3, later)},
                           .revision = store_revision(4, later),
                           .complete = true});
        node.feed.on_change();
        auto const report = node.get_report();
        CHECK(report.changes.complete);
        CHECK(report.changes.items == std::vector{put("a", 3, later)});
        CHECK(report.changes.revision == store_revision(4, later));
    }
    SUBCASE("is held for as long as it asks")
    {
        node.send(changes_target({.after = known, .wait = milliseconds{200}}));
        REQUIRE(node.is_held());
        CHECK(node.get_report().changes.items.empty());
    }
    SUBCASE("is not held by a node that receives no changes")
    {
        node.send(changes_target({.after = known, .wait = long_wait}));
        REQUIRE(node.is_held());
        node.feed.set_current(false);
        CHECK_FALSE(node.get_report().current);
        CHECK_FALSE(node.request({.after = known, .wait = long_wait}).current);
    }
    SUBCASE("in an earlier era gets all items at once")
    {
        for (auto const number : {1, 5, 9})
        {
            CAPTURE(number);
            auto const report =
                node.request({.after = store_revision(number, store_era(1)),
                              .wait = long_wait});
            CHECK(report.changes.complete);
            CHECK(report.changes.items ==
                  std::vector{put("a", 3, node.era), put("b", 5, node.era)});
            CHECK(report.changes.revision == known);
        }
        CHECK(node.ahead.empty());
    }
    SUBCASE("in a later era gets a response at once, and is named")
    {
        for (auto const number : {1, 5, 9})
        {
            CAPTURE(number);
            node.ahead.clear();
            auto const report =
                node.request({.after = store_revision(number, store_era(3)),
                              .wait = long_wait});
            CHECK(report.changes.items.empty());
            CHECK(report.changes.revision == known);
            CHECK(node.ahead == std::vector{mesh::host_address("127.0.0.1")});
        }
    }
    SUBCASE("of the earlier build is served in the era of the node")
    {
        node.feed.set_unstored_configuration(mesh::config_version(9), "{}");
        node.send("/mesh/changes?after=3&wait_ms=3000");
        auto const report = node.get_report();
        CHECK(report.changes.items == std::vector{put("b", 5, node.era)});
        CHECK_FALSE(report.newer_configuration.has_value());

        node.send("/mesh/changes?after=5&wait_ms=3000");
        CHECK(node.is_held());
        CHECK(node.ahead.empty());
    }
    SUBCASE("with a malformed request gets 404")
    {
        for (std::string const target :
             {"/mesh/changes", "/mesh/changes?after=1",
              "/mesh/changes?wait_ms=1", "/mesh/changes?after=x&wait_ms=1",
              "/other?after=1&wait_ms=1"})
        {
            CAPTURE(target);
            node.send(target);
            REQUIRE(node.is_answered_within(at_once));
            CHECK(node.response->status == 404);
        }
    }
}

TEST_CASE("a configuration that the store has lost")
{
    served_feed node;
    store_revision const known(5, node.era);
    auto const wanted = [&](std::int64_t version)
    {
        return changes_request{.after = known,
                               .wait = long_wait,
                               .version = mesh::config_version(version)};
    };
    node.feed.set_unstored_configuration(mesh::config_version(9), "{}");

    SUBCASE("is sent at once to peers with an older one")
    {
        for (auto const version : {0, 8})
            CHECK(node.request(wanted(version)).newer_configuration == "{}");
    }
    SUBCASE("is not sent to peers with the same or a newer one")
    {
        for (auto const version : {9, 10})
        {
            CAPTURE(version);
            node.send(changes_target(wanted(version)));
            CHECK(node.is_held());
            // Nor with changes.
            auto unheld = wanted(version);
            unheld.after = store_revision(3, node.era);
            auto const report = node.request(unheld);
            CHECK(report.changes.items.size() == 1);
            CHECK_FALSE(report.newer_configuration.has_value());
        }
    }
    SUBCASE("is sent with the next response if it was lost during a request")
    {
        node.feed.set_unstored_configuration(mesh::config_version(), "");
        node.send(changes_target(wanted(8)));
        REQUIRE(node.is_held());
        node.feed.set_unstored_configuration(mesh::config_version(9), "{}");
        node.feed.on_change();
        CHECK(node.get_report().newer_configuration == "{}");
    }
    SUBCASE("is not sent once the store has it")
    {
        node.feed.set_unstored_configuration(mesh::config_version(9), "");
        node.send(changes_target(wanted(8)));
        CHECK(node.is_held());
        node.feed.on_change();
        CHECK_FALSE(node.get_report().newer_configuration.has_value());
    }
}
