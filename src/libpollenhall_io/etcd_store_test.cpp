// Tests the client of the store with broken responses. Guards against a
// response that ends the process, against one that is read as data although it
// is not one of the store, and against calls that end only at their timeout.

#include "faulty_server.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/etcd_store.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <thread>

namespace
{

using namespace pollenhall;
using testing::connection_end;

constexpr milliseconds store_timeout{5'000};
// Well below the timeout of a call.
constexpr milliseconds max_failure_time{2'000};

/// A store that writes the bytes that a test sets, and a client of it.
class faulty_store
{
public:
    faulty_store() { server.end = connection_end::orderly; }

    /// Runs `call` with a client, while the store responds with `response`.
    template <class Call>
    auto run(std::string response, Call&& call)
    {
        server.response = std::move(response);
        context_.restart();
        std::thread server_thread([this] { context_.run(); });
        etcd_store store({.address = "127.0.0.1",
                          .port = server.address().port(),
                          .timeout = store_timeout});
        auto const began = mono_now();
        auto result = call(store);
        CHECK(mono_now() - began < max_failure_time);
        context_.stop();
        server_thread.join();
        return result;
    }

    /// Status of each kind of call to which the store responds so.
    std::vector<absl::Status> statuses_with(std::string const& response)
    {
        return {run(response, [](etcd_store& store)
                    { return store.read_prefix("a/").status(); }),
                run(response,
                    [](etcd_store& store)
                    {
                        return store
                            .commit({},
                                    {{.key = "a", .value = {}, .lease = {}}})
                            .status();
                    }),
                run(response, [](etcd_store& store)
                    { return store.grant_lease(seconds{5}).status(); }),
                run(response, [](etcd_store& store)
                    { return store.keep_alive(lease_id(1)); })};
    }

private:
    asio::io_context context_;

public:
    testing::faulty_server server{context_};
};

std::string with_length(std::string const& status, std::string const& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Valid for each kind of call.
std::string const whole_body =
    R"({"header":{"revision":"7"},"succeeded":true,"ID":"5",)"
    R"("result":{"TTL":"5"}})";

} // namespace

TEST_CASE("the client of the store")
{
    faulty_store store;

    SUBCASE("reads a valid response")
    {
        for (auto const& status :
             store.statuses_with(with_length("200 OK", whole_body)))
            CHECK(status.ok());
    }
    SUBCASE("rejects a response without a valid status")
    {
        for (std::string const status :
             {"000 OK", "099 OK", "999 OK", "0200 OK", "500 Failed", "2 OK"})
        {
            CAPTURE(status);
            for (auto const& result :
                 store.statuses_with(with_length(status, whole_body)))
                CHECK_FALSE(result.ok());
        }
    }
    SUBCASE("rejects a response that ends early")
    {
        auto const cut = whole_body.substr(0, whole_body.size() - 1);
        std::string const head = "HTTP/1.1 200 OK\r\n";
        for (auto const end : {connection_end::orderly, connection_end::reset})
        {
            store.server.end = end;
            for (auto const& response :
                 {absl::StrCat(head, "\r\n", cut),
                  absl::StrCat(head, "Content-Length: 99\r\n\r\n", cut),
                  absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n40\r\n",
                               cut),
                  head})
                for (auto const& result : store.statuses_with(response))
                    CHECK_FALSE(result.ok());
        }
    }
    SUBCASE("rejects a body that is not the one of a response")
    {
        for (
            std::string const body :
            {R"()", R"({})", R"([])", R"(null)", R"("text")", R"(7)",
             R"({"header":7})", R"({"header":{"revision":"x"}})",
             R"({"header":{"revision":"7"},"kvs":7,"succeeded":7,"ID":"x","result":7})",
             R"({"header":{"revision":"7"},"kvs":[7],"succeeded":"x","ID":[],"result":[]})"})
        {
            CAPTURE(body);
            for (auto const& result :
                 store.statuses_with(with_length("200 OK", body)))
                CHECK_FALSE(result.ok());
        }
    }
    // Guards against changes that are missed for as long as the store gives out
    // revisions again.
    SUBCASE("ends a watch from a revision that the store does not have")
    {
        int changes = 0;
        auto const watch = [&](std::string const& created_at)
        {
            changes = 0;
            return store.run(
                absl::StrCat("HTTP/1.1 200 OK\r\n\r\n"
                             R"({"result":{"header":{"revision":")",
                             created_at, R"("},"created":true}})",
                             "\n"
                             R"({"result":{"header":{"revision":"12"},)"
                             R"("events":[{"kv":{"key":"YQ=="}}]}})",
                             "\n"),
                [&](etcd_store& client)
                {
                    return client.watch("a", store_revision(11), store_timeout,
                                        [&](auto const&, auto)
                                        {
                                            ++changes;
                                            return true;
                                        });
                });
        };
        CHECK(watch("9").ok());
        CHECK(changes == 0);
        CHECK(watch("10").ok());
        CHECK(changes == 1);
        CHECK(watch("11").ok());
        CHECK(changes == 1);
    }
    SUBCASE("ends a watch at a response that it cannot read")
    {
        std::string const event = R"({"result":{"header":{"revision":"8"},)"
                                  R"("events":[{"kv":{"key":"YQ=="}}]}})"
                                  "\n";
        int changes = 0;
        auto const watch = [&](std::string const& response)
        {
            changes = 0;
            return store.run(response,
                             [&](etcd_store& client)
                             {
                                 return client.watch("a", store_revision(1),
                                                     store_timeout,
                                                     [&](auto const&, auto)
                                                     {
                                                         ++changes;
                                                         return true;
                                                     });
                             });
        };
        CHECK(watch("HTTP/1.1 200 OK\r\n\r\n" + event).ok());
        CHECK(changes == 1);
        for (std::string const status : {"000 OK", "500 Failed"})
        {
            CHECK_FALSE(
                watch(absl::StrCat("HTTP/1.1 ", status, "\r\n\r\n", event))
                    .ok());
            CHECK(changes == 0);
        }
        for (std::string const line :
             {R"(7)", R"([])", R"({"result":7})", R"({"result":{"events":7}})",
              R"({"result":{"events":[7]}})",
              R"({"result":{"events":[{"kv":{"key":7}}]}})",
              R"({"result":{"canceled":7}})", R"({)"})
        {
            CAPTURE(line);
            CHECK_FALSE(watch(absl::StrCat("HTTP/1.1 200 OK\r\n\r\n", line,
                                           "\n", event))
                            .ok());
            CHECK(changes == 0);
        }
    }
}
