// Tests that mirrors agree with the store. Guards against stale or removed
// values that come back when updates from the store and from peers arrive in a
// different order.

#include <pollenhall/mesh/store_mirror.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

store_item put(std::string key, std::string value, std::int64_t revision,
               store_era era = store_era())
{
    return {.key = std::move(key),
            .value = std::move(value),
            .revision = store_revision(revision, era)};
}
store_item removed(std::string key, std::int64_t revision)
{
    return {.key = std::move(key),
            .value = std::nullopt,
            .revision = store_revision(revision)};
}

/// Reference model of the store with its full history.
struct model_store
{
    std::vector<store_item> history;

    void change(std::string const& key, bool remove)
    {
        auto const next = static_cast<std::int64_t>(history.size()) + 1;
        history.push_back(remove ? removed(key, next)
                                 : put(key, "v" + std::to_string(next), next));
    }
    [[nodiscard]] store_revision revision() const
    {
        return store_revision(static_cast<std::int64_t>(history.size()));
    }
    [[nodiscard]] std::map<std::string, store_item> state() const
    {
        std::map<std::string, store_item> items;
        for (auto const& item : history)
            items.insert_or_assign(item.key, item);
        std::erase_if(items,
                      [](auto const& entry) { return !entry.second.value; });
        return items;
    }
    [[nodiscard]] store_items read() const
    {
        store_items items{.revision = revision(), .complete = true};
        for (auto const& [key, item] : state())
            items.items.push_back(item);
        return items;
    }
    [[nodiscard]] store_items watch(store_revision after) const
    {
        return {.items = {history.begin() + after.number(), history.end()},
                .revision = revision()};
    }
};

bool agrees(store_mirror const& mirror, model_store const& store)
{
    auto const state = store.state();
    for (auto const* key : {"a", "b", "c", "d", "e"})
    {
        auto const* known = mirror.find(key);
        auto const found = state.find(key);
        if ((known == nullptr) != (found == state.end()))
            return false;
        if (known != nullptr && *known != *found->second.value)
            return false;
    }
    return mirror.revision() == store.revision();
}

} // namespace

TEST_CASE("a mirror of the store")
{
    store_mirror mirror;
    mirror.apply({.items = {put("a", "1", 3), put("b", "1", 5)},
                  .revision = store_revision(5),
                  .complete = true});

    SUBCASE("keeps the newest value if updates arrive out of order")
    {
        CHECK(mirror
                  .apply({.items = {put("a", "2", 7)},
                          .revision = store_revision(7)})
                  .size() == 1);
        CHECK(mirror
                  .apply({.items = {put("a", "old", 6)},
                          .revision = store_revision(6)})
                  .empty());
        CHECK(*mirror.find("a") == "2");
        CHECK(mirror.revision() == store_revision(7));
    }
    SUBCASE("removes the keys that a complete update does not contain")
    {
        auto const changed = mirror.apply({.items = {put("b", "1", 5)},
                                           .revision = store_revision(9),
                                           .complete = true});
        REQUIRE(changed.size() == 1);
        CHECK(changed.front().key == "a");
        CHECK(mirror.find("a") == nullptr);
        CHECK(mirror.find("b") != nullptr);
    }
    SUBCASE("keeps a key that is newer than a complete update")
    {
        mirror.apply(
            {.items = {put("c", "1", 12)}, .revision = store_revision(12)});
        mirror.apply({.revision = store_revision(9), .complete = true});
        CHECK(mirror.find("c") != nullptr);
    }
    SUBCASE("does not get back a removed key from a response that comes late")
    {
        store_era era;
        SUBCASE("if it has not heard of the key") {}
        SUBCASE("if it knows of a removal of the key in an earlier era")
        {
            mirror.apply({.items = {put("c", "0", 6), removed("c", 7)},
                          .revision = store_revision(7)});
            era = store_era(1);
        }
        auto const a = put("a", "1", 3, era);
        auto const b = put("b", "1", 5, era);
        mirror.apply({.items = {a, b},
                      .revision = store_revision(7, era),
                      .complete = true});
        CHECK(mirror
                  .apply({.items = {a, b, put("c", "1", 6, era)},
                          .revision = store_revision(6, era),
                          .complete = true})
                  .empty());
        CHECK(mirror.find("c") == nullptr);
    }
    SUBCASE("returns all items, marked as complete, to a new node")
    {
        auto const all = mirror.changes_after(store_revision());
        CHECK(all.complete);
        CHECK(all.items.size() == 2);
    }
    SUBCASE("returns missed changes, including removals, to other nodes")
    {
        mirror.apply(
            {.items = {removed("a", 8)}, .revision = store_revision(8)});
        auto const missed = mirror.changes_after(store_revision(5));
        CHECK_FALSE(missed.complete);
        CHECK(missed.items == std::vector{removed("a", 8)});
        CHECK(mirror.changes_after(store_revision(8)).items.empty());
    }
}

TEST_CASE("mirrors that are updated from each other agree with the store")
{
    bool const holds = rc::check(
        "after any sequence of reads, watches and polls of peers",
        []
        {
            model_store store;
            store.change("a", false);
            std::array<store_mirror, 3> mirrors{
                store_mirror(2), store_mirror(2), store_mirror(2)};
            auto const steps = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 1'000));
            for (auto const step : steps)
            {
                auto& one = mirrors.at(step / 10 % 3);
                auto const& other = mirrors.at(step / 30 % 3);
                switch (step % 10)
                {
                case 0:
                    one.apply(store.read());
                    break;
                case 1:
                case 2:
                    if (one.revision().number() > 0)
                        one.apply(store.watch(one.revision()));
                    break;
                case 3:
                case 4:
                    // A node without data does not respond to polls.
                    if (other.revision().number() > 0)
                        one.apply(other.changes_after(one.revision()));
                    break;
                default:
                    store.change(
                        std::string(1, static_cast<char>('a' + step / 10 % 5)),
                        step / 50 % 2 == 0);
                }
            }
            mirrors[0].apply(mirrors[0].revision().number() > 0
                                 ? store.watch(mirrors[0].revision())
                                 : store.read());
            RC_ASSERT(agrees(mirrors[0], store));
            for (auto& mirror : mirrors)
            {
                mirror.apply(mirrors[0].changes_after(mirror.revision()));
                RC_ASSERT(agrees(mirror, store));
            }
        });
    CHECK(holds);
}
