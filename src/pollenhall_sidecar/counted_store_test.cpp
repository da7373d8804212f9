// Tests the counts of calls to the store. Guards against an outage, a limit on
// calls and a store without its history that look the same in the metrics.

#include "counted_store.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

namespace
{

using namespace pollenhall;
using namespace pollenhall::sidecar;

/// A store in which all calls end with a status that a test sets.
class stub_store : public shared_store
{
public:
    [[nodiscard]] store_era era() const override { return store_era(4); }
    void read(std::string const&, handler<store_items> on_end) override
    {
        end(on_end, store_items{.revision = store_revision(7)});
    }
    void watch(std::string const&, store_revision, milliseconds,
               handler<store_items> on_end) override
    {
        end(on_end, store_items{.revision = store_revision(7)});
    }
    void write(std::string const&, std::string const&, store_revision,
               handler<store_revision> on_end) override
    {
        end(on_end, store_revision(7));
    }
    void remove(std::string const&, store_revision,
                handler<store_revision> on_end) override
    {
        end(on_end, store_revision(7));
    }

    absl::Status status;

private:
    template <class Value>
    void end(handler<Value> const& on_end, Value value) const
    {
        if (status.ok())
            on_end(std::move(value));
        else
            on_end(status);
    }
};

/// Returns the lines of the counter of calls, in order.
std::vector<std::string> counter_lines(std::string const& page)
{
    std::vector<std::string> lines;
    std::istringstream in(page);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("pollenhall_store_calls_total{"))
            lines.push_back(line);
    std::sort(lines.begin(), lines.end());
    return lines;
}

std::string counter_line(std::string const& call, std::string const& outcome,
                         int count)
{
    return "pollenhall_store_calls_total{call=\"" + call + "\",outcome=\"" +
           outcome + "\"} " + std::to_string(count);
}

} // namespace

TEST_CASE("calls to the store are counted by kind and outcome")
{
    struct
    {
        absl::Status status;
        std::string label;
    } const outcomes[]{{absl::OkStatus(), "ok"},
                       {absl::OutOfRangeError(""), "history_gone"},
                       {absl::FailedPreconditionError(""), "conflict"},
                       {absl::ResourceExhaustedError(""), "over_limit"},
                       {absl::UnknownError(""), "unknown"},
                       {absl::UnavailableError(""), "unavailable"},
                       {absl::InternalError(""), "failed"},
                       {absl::NotFoundError(""), "failed"}};

    stub_store store;
    for (auto const& outcome : outcomes)
    {
        CAPTURE(outcome.label);
        store.status = outcome.status;
        node_metrics metrics;
        counted_store counted(store, metrics);
        std::vector<absl::StatusCode> ends;
        auto const keep_end = [&](auto const& result)
        { ends.push_back(result.status().code()); };

        // Each kind a different number of times.
        counted.read("a", keep_end);
        for (int i = 0; i < 2; ++i)
            counted.remove("a", store_revision(1), keep_end);
        for (int i = 0; i < 3; ++i)
            counted.watch("a", store_revision(1), milliseconds{1}, keep_end);
        for (int i = 0; i < 4; ++i)
            counted.write("a", "b", store_revision(1), keep_end);

        // There are no other lines.
        CHECK(counter_lines(metrics.serialize()) ==
              std::vector{counter_line("read", outcome.label, 1),
                          counter_line("remove", outcome.label, 2),
                          counter_line("watch", outcome.label, 3),
                          counter_line("write", outcome.label, 4)});
        CHECK(ends == std::vector(10, outcome.status.code()));
    }
}

TEST_CASE("counting changes neither results nor the era of the store")
{
    stub_store store;
    node_metrics metrics;
    counted_store counted(store, metrics);
    CHECK(counted.era() == store_era(4));
    counted.read("a",
                 [](absl::StatusOr<store_items> const& items)
                 {
                     REQUIRE(items.ok());
                     CHECK(items->revision == store_revision(7));
                 });
    counted.write("a", "b", store_revision(1),
                  [](absl::StatusOr<store_revision> const& written)
                  {
                      REQUIRE(written.ok());
                      CHECK(*written == store_revision(7));
                  });
}
