// Applies updates in any order, with loss and repetition. Guards against a node
// that returns to an older configuration after a stale read or a late message.
// Also checks that spaces are unchanged after being stored and parsed.

#include <pollenhall/document_book.hpp>
#include <pollenhall/store_layout.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace
{

using namespace pollenhall;

std::string const space = "member/vanderhoek";

/// The documents of a space at each generation.
struct space_history
{
    std::vector<std::vector<declaration_file>> states{{}};
    document_book newest;

    void change(std::vector<declaration_file> files)
    {
        generation const made(static_cast<std::int64_t>(states.size()));
        space_update update{.space = space,
                            .newest = made,
                            .apply_id = std::to_string(made.value()),
                            .actor = "test",
                            .since = generation(made.value() - 1),
                            .documents =
                                changed_documents(states.back(), files, made)};
        newest.merge(update);
        states.push_back(std::move(files));
    }
};

bool same_files(std::vector<declaration_file> left,
                std::vector<declaration_file> right)
{
    auto const order = [](auto const& a, auto const& b)
    { return a.path < b.path; };
    std::sort(left.begin(), left.end(), order);
    std::sort(right.begin(), right.end(), order);
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](auto const& a, auto const& b)
                      { return a.path == b.path && a.text == b.text; });
}

space_history make_history(int generations)
{
    space_history history;
    for (int i = 0; i < generations; ++i)
    {
        std::vector<declaration_file> files;
        for (int file = 0; file < 4; ++file)
        {
            if (*rc::gen::arbitrary<bool>())
                files.push_back(
                    {.path = std::to_string(file),
                     .text = std::to_string(*rc::gen::inRange(0, 3))});
        }
        history.change(std::move(files));
    }
    return history;
}

} // namespace

TEST_CASE("the generation in force never decreases")
{
    CHECK(rc::check(
        "updates arrive in any order, with loss and repetition",
        []
        {
            auto const generations = *rc::gen::inRange(1, 8);
            space_history history;
            std::vector<space_update> updates;
            // All updates that the store, a stale read or a peer can return.
            for (int i = 1; i <= generations; ++i)
            {
                history = [&]
                {
                    auto next = history;
                    next.change({{.path = "a", .text = std::to_string(i)},
                                 {.path = std::to_string(i), .text = "x"}});
                    return next;
                }();
                for (int since = 0; since < i; ++since)
                    updates.push_back(*history.newest.changes_since(
                        space, generation(since)));
            }
            document_book node;
            auto const arrivals = *rc::gen::inRange(0, 40);
            for (int i = 0; i < arrivals; ++i)
            {
                auto const before = node.newest(space);
                node.merge(updates[static_cast<std::size_t>(
                    *rc::gen::inRange(0, static_cast<int>(updates.size())))]);
                auto const after = node.newest(space);
                RC_ASSERT(after >= before);
                RC_ASSERT(same_files(
                    node.files(space),
                    history.states[static_cast<std::size_t>(after.value())]));
            }
        }));
}

TEST_CASE("an update that leaves a gap is rejected")
{
    document_book node;
    space_update update{.space = space,
                        .newest = generation(5),
                        .apply_id = "id",
                        .actor = "test",
                        .since = generation(3),
                        .documents = {}};
    CHECK(node.merge(update) == merge_result::gap);
    CHECK(node.newest(space) == generation(0));
}

// Guards against an apply that is performed again because the store lost it.
TEST_CASE("a space that the store has lost is stored again")
{
    space_history history;
    for (int i = 1; i <= 3; ++i)
        history.change({{.path = "a", .text = std::to_string(i)}});
    space_head copy;
    copy = next_head(copy, "1", "test");
    auto const known = *history.newest.known(space);
    auto const head = restored_head(copy, known);
    CHECK(head.newest == generation(3));
    CHECK(head.actor == "test");
    SUBCASE("the head names each apply once, the latest first")
    {
        CHECK(head.applies ==
              std::vector<past_apply>{{.id = "3", .made = generation(3)},
                                      {.id = "2", .made = generation(2)},
                                      {.id = "1", .made = generation(1)}});
    }
    SUBCASE("a copy is no other history")
    {
        CHECK_FALSE(have_diverged(copy, known));
        CHECK_FALSE(have_diverged({}, known));
    }
    SUBCASE("a generation that is reused is another history")
    {
        CHECK(have_diverged(next_head(copy, "other", "test"), known));
    }
    SUBCASE("the store's record names generations that a node passed over")
    {
        auto const stored = next_head(
            next_head(next_head({}, "1", "test"), "2", "test"), "3", "test");
        auto content = known.content;
        document_book late;
        late.merge(content);
        CHECK(late.known(space)->applies.size() == 1);
        content.applies = stored.applies;
        late.merge(content);
        CHECK(late.known(space)->applies == stored.applies);
    }
    SUBCASE("histories that met again are one")
    {
        auto const met =
            next_head(next_head(next_head({}, "1", "test"), "other", "test"),
                      "3", "test");
        CHECK_FALSE(have_diverged(met, known));
    }
    SUBCASE("the head keeps applies that the node has not received")
    {
        document_book late;
        late.merge(known.content);
        CHECK(restored_head(copy, *late.known(space)).applies ==
              std::vector<past_apply>{{.id = "3", .made = generation(3)},
                                      {.id = "1", .made = generation(1)}});
    }
    SUBCASE("the head names no more applies than any other")
    {
        for (std::size_t i = 4; i <= max_past_applies + 4; ++i)
            history.change({{.path = "a", .text = std::to_string(i)}});
        CHECK(
            restored_head(copy, *history.newest.known(space)).applies.size() ==
            max_past_applies);
    }
}

TEST_CASE("spaces are unchanged after formatting and parsing")
{
    CHECK(rc::check(
        "parsed documents equal the written ones",
        []
        {
            auto const history = make_history(*rc::gen::inRange(1, 6));
            auto const update =
                *history.newest.changes_since(space, generation(0));
            space_head head;
            for (std::int64_t i = 0; i < update.newest.value(); ++i)
                head = next_head(head, std::to_string(i + 1), "test");
            std::vector<stored_value> values{{.key = head_key("/p/", space),
                                              .value = format_head(head),
                                              .revision = 9}};
            for (auto const& document : update.documents)
                values.push_back(
                    {.key = document_key("/p/", space, document.path),
                     .value = format_document(document),
                     .revision = 9});
            auto const spaces = parse_spaces("/p/", values);
            RC_ASSERT(spaces.size() == 1U);
            RC_ASSERT(spaces[0].ok());
            document_book book;
            book.merge(spaces[0]->update);
            RC_ASSERT(same_files(book.files(space), history.states.back()));
            RC_ASSERT(spaces[0]->head.generation_created_by("1") ==
                      generation(1));
        }));

    SUBCASE("a malformed value is reported with its key")
    {
        auto const spaces = parse_spaces(
            "/p/",
            {{.key = head_key("/p/", space), .value = "{half", .revision = 1}});
        REQUIRE(spaces.size() == 1);
        CHECK(std::string(spaces[0].status().message())
                  .find("/p/spaces/member/vanderhoek|head") !=
              std::string::npos);
    }
    SUBCASE("a document newer than its head is rejected")
    {
        auto const spaces = parse_spaces(
            "/p/", {{.key = head_key("/p/", space),
                     .value = format_head(next_head({}, "1", "test")),
                     .revision = 1},
                    {.key = document_key("/p/", space, "a"),
                     .value = format_document(
                         {.path = "a", .changed = generation(2), .text = "x"}),
                     .revision = 2}});
        REQUIRE(spaces.size() == 1);
        CHECK_FALSE(spaces[0].ok());
    }
}
