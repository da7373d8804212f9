// Tests that mirrors agree with the store. Guards against stale or removed
// values that come back when updates from the store and from peers arrive in a
// different order, and against mirrors that take the revisions of a store that
// has been restored from an older snapshot for those that they know.

#include <pollenhall/mesh/store_mirror.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <ostream>

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

using key_values = std::map<std::string, std::string>;

constexpr std::array<char const*, 5> keys{"a", "b", "c", "d", "e"};

/// Reference model of a store that can be restored from an older snapshot. It
/// keeps the history of each era, also after the era has ended.
class restorable_store
{
public:
    restorable_store() { change("a", false); }

    void change(std::string const& key, bool remove)
    {
        auto& history = eras_.back();
        history.push_back({.key = key});
        if (!remove)
            history.back().value = std::to_string(eras_.size()) + "." +
                                   std::to_string(history.size());
    }
    /// Loses the last `lost` changes, except for the first change of all.
    void restore(std::size_t lost)
    {
        auto history = eras_.back();
        history.resize(history.size() - std::min(lost, history.size() - 1));
        eras_.push_back(std::move(history));
    }

    [[nodiscard]] store_revision revision() const
    {
        return store_revision(static_cast<std::int64_t>(eras_.back().size()),
                              era());
    }
    /// The content at a revision of any era.
    [[nodiscard]] key_values content_at(store_revision revision) const
    {
        key_values content;
        auto const& history =
            eras_.at(static_cast<std::size_t>(revision.era().value()));
        for (std::int64_t i = 0; i < revision.number(); ++i)
        {
            auto const& item = history.at(static_cast<std::size_t>(i));
            if (item.value)
                content.insert_or_assign(item.key, *item.value);
            else
                content.erase(item.key);
        }
        return content;
    }
    [[nodiscard]] store_items read() const
    {
        std::map<std::string, store_item> last_changes;
        for (auto const& item : changes_after(0))
            last_changes.insert_or_assign(item.key, item);
        store_items all{.revision = revision(), .complete = true};
        for (auto const& [key, item] : last_changes)
            if (item.value)
                all.items.push_back(item);
        return all;
    }
    /// Returns what the store has after a revision number, whichever era the
    /// number is of.
    [[nodiscard]] store_items watch(std::int64_t after) const
    {
        return {.items = changes_after(after), .revision = revision()};
    }

private:
    [[nodiscard]] store_era era() const
    {
        return store_era(static_cast<std::int64_t>(eras_.size()) - 1);
    }
    [[nodiscard]] std::vector<store_item>
    changes_after(std::int64_t number) const
    {
        std::vector<store_item> changes;
        auto const& history = eras_.back();
        for (auto i = static_cast<std::size_t>(number); i < history.size(); ++i)
        {
            changes.push_back(history[i]);
            changes.back().revision =
                store_revision(static_cast<std::int64_t>(i) + 1, era());
        }
        return changes;
    }

    // Changes by era, each at its revision number less one.
    std::vector<std::vector<store_item>> eras_{{}};
};

key_values content_of(store_mirror const& mirror)
{
    key_values content;
    for (auto const* key : keys)
        if (auto const* value = mirror.find(key))
            content.emplace(key, *value);
    return content;
}

/// What happens in one step of a schedule.
enum class action
{
    change,
    remove,
    restore,
    // A mirror requests and gets an update.
    read,
    watch,
    poll,
    // The same, but the response is delivered in a later step.
    request_read,
    request_watch,
    request_poll,
    deliver
};

struct step
{
    action what = action::change;
    // Selects the mirror, or the key of a change.
    std::size_t subject = 0;
    // Selects the polled mirror, the delivered response or the number of lost
    // changes.
    std::size_t object = 0;
};

std::ostream& operator<<(std::ostream& out, step const& shown)
{
    return out << "{" << static_cast<int>(shown.what) << " " << shown.subject
               << " " << shown.object << "}";
}

step decode_step(int number)
{
    constexpr std::array<action, 16> weighted{
        action::change,        action::change,       action::change,
        action::change,        action::remove,       action::remove,
        action::restore,       action::read,         action::watch,
        action::watch,         action::poll,         action::request_read,
        action::request_watch, action::request_poll, action::deliver,
        action::deliver};
    auto const value = static_cast<std::size_t>(number);
    return {.what = weighted.at(value % weighted.size()),
            .subject = value / weighted.size() % keys.size(),
            .object = value / weighted.size() / keys.size() % 6};
}
constexpr int step_count = 16 * 5 * 6;

/// Mirrors of a store, and responses that they have requested.
class mirrored_store
{
public:
    void run(step const& next)
    {
        auto const mirror = next.subject % mirrors.size();
        auto const peer = next.object % mirrors.size();
        switch (next.what)
        {
        case action::change:
        case action::remove:
            return store.change(keys.at(next.subject),
                                next.what == action::remove);
        case action::restore:
            return store.restore(next.object);
        case action::read:
            apply(mirror, store.read());
            RC_ASSERT(mirrors.at(mirror).revision() == store.revision());
            RC_ASSERT(content_of(mirrors.at(mirror)) ==
                      store.content_at(store.revision()));
            return;
        case action::watch:
            return apply(mirror, watch(mirror));
        case action::poll:
            poll(mirror, peer);
            return;
        case action::request_read:
            return late_.push_back({mirror, store.read()});
        case action::request_watch:
            // Responses of another era than that of the request are errors;
            // the mirror may be in that era when they are delivered.
            if (mirrors.at(mirror).revision().era() == store.revision().era())
                late_.push_back({mirror, watch(mirror)});
            return;
        case action::request_poll:
            return late_.push_back({mirror, changes_for(mirror, peer)});
        case action::deliver:
            if (late_.empty())
                return;
            auto const chosen = late_.begin() + static_cast<std::ptrdiff_t>(
                                                    next.object % late_.size());
            auto const [receiver, update] = *chosen;
            late_.erase(chosen);
            return apply(receiver, update);
        }
    }

    /// After a poll, a mirror is at the revision of the peer if that was ahead.
    void poll(std::size_t mirror, std::size_t peer)
    {
        auto const ahead = std::max(mirrors.at(mirror).revision(),
                                    mirrors.at(peer).revision());
        apply(mirror, changes_for(mirror, peer));
        RC_ASSERT(mirrors.at(mirror).revision() == ahead);
    }

    restorable_store store;
    std::array<store_mirror, 3> mirrors{store_mirror(2), store_mirror(2),
                                        store_mirror(2)};

private:
    struct late_response
    {
        std::size_t mirror = 0;
        store_items update;
    };

    // A node without data reads the store first.
    [[nodiscard]] store_items watch(std::size_t mirror) const
    {
        auto const after = mirrors.at(mirror).revision().number();
        return after > 0 ? store.watch(after) : store_items{};
    }
    // A node without data does not respond to polls.
    [[nodiscard]] store_items changes_for(std::size_t mirror,
                                          std::size_t peer) const
    {
        if (mirrors.at(peer).revision().number() == 0)
            return {};
        return mirrors.at(peer).changes_after(mirrors.at(mirror).revision());
    }
    void apply(std::size_t index, store_items const& update)
    {
        auto& mirror = mirrors.at(index);
        auto const before = mirror.revision();
        auto const content_before = content_of(mirror);
        auto const changed = mirror.apply(update);
        RC_ASSERT(mirror.revision() >= before);
        if (update.revision.era() != before.era() && !update.complete)
        {
            RC_ASSERT(changed.empty());
            RC_ASSERT(mirror.revision() == before);
            RC_ASSERT(content_of(mirror) == content_before);
        }
        // Keys that the store has lost or removed are absent, and no value is
        // of another time than the rest.
        RC_ASSERT(content_of(mirror) == store.content_at(mirror.revision()));
    }

    std::vector<late_response> late_;
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

// Guards against mirrors that ignore a restored store, that mix values of two
// eras, or that get back a value from a response that comes late.
TEST_CASE(
    "mirrors of a store that is restored from older snapshots agree with it")
{
    bool const holds = rc::check(
        "after any sequence of restores, updates and late responses",
        []
        {
            mirrored_store system;
            auto const steps = *rc::gen::container<std::vector<step>>(
                rc::gen::map(rc::gen::inRange(0, step_count), decode_step));
            for (auto const& next : steps)
                system.run(next);

            // The mirrors converge when they poll the one that is ahead.
            auto& mirrors = system.mirrors;
            auto const ahead = static_cast<std::size_t>(std::distance(
                mirrors.begin(),
                std::max_element(mirrors.begin(), mirrors.end(),
                                 [](auto const& left, auto const& right) {
                                     return left.revision() < right.revision();
                                 })));
            for (std::size_t i = 0; i < mirrors.size(); ++i)
            {
                system.poll(i, ahead);
                RC_ASSERT(content_of(mirrors.at(i)) ==
                          content_of(mirrors.at(ahead)));
            }
            // They know the store after one of them has read it.
            system.run({.what = action::read, .subject = 0});
            for (std::size_t i = 0; i < mirrors.size(); ++i)
            {
                system.poll(i, 0);
                RC_ASSERT(mirrors.at(i).revision() == system.store.revision());
                RC_ASSERT(content_of(mirrors.at(i)) ==
                          system.store.content_at(system.store.revision()));
            }
        });
    CHECK(holds);
}
