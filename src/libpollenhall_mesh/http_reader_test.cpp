// Tests the HTTP reader. Guards against request smuggling: a message that two
// parsers frame differently must be rejected, and a message that is forwarded
// must be read as the same single message.

#include <pollenhall/mesh/http_reader.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace
{

using namespace pollenhall::mesh;

struct read_outcome
{
    std::vector<http_request> requests;
    read_status last = read_status::need_more;
};

/// Feeds `bytes` in pieces of `piece_size` bytes.
read_outcome read_requests(std::string const& bytes, std::size_t piece_size,
                           http_reader_limits limits = {})
{
    http_reader reader(http_reader::direction::request, limits);
    read_outcome outcome;
    std::string buffered;
    for (std::size_t at = 0; at < bytes.size(); at += piece_size)
    {
        buffered += bytes.substr(at, piece_size);
        std::string_view rest = buffered;
        while (!rest.empty())
        {
            outcome.last = reader.feed(rest);
            if (outcome.last == read_status::complete)
                outcome.requests.push_back(reader.take_request());
            else if (outcome.last != read_status::need_more)
                return outcome;
            else
                break;
        }
        buffered = std::string(rest);
    }
    return outcome;
}

/// Reads the response that `bytes` begin with, in pieces of `piece_size` bytes,
/// until the connection ends after them.
read_status read_response(std::string const& bytes, std::size_t piece_size)
{
    http_reader reader(http_reader::direction::response);
    auto status = read_status::need_more;
    for (std::size_t at = 0;
         at < bytes.size() && status == read_status::need_more;
         at += piece_size)
    {
        auto const piece = bytes.substr(at, piece_size);
        std::string_view rest = piece;
        status = reader.feed(rest);
    }
    return status == read_status::need_more ? reader.finish() : status;
}

read_status read_response(std::string const& bytes)
{
    auto const status = read_response(bytes, bytes.size());
    CHECK(read_response(bytes, 1) == status);
    return status;
}

read_status status_of(std::string const& bytes)
{
    return read_requests(bytes, bytes.size()).last;
}

} // namespace

TEST_CASE("a request on a connection")
{
    std::string const first = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n"
                              "Request-Id: 1\r\nContent-Length: 5\r\n\r\nhello";
    std::string const second = "GET /e HTTP/1.1\r\nHost: y\r\n\r\n";

    SUBCASE("is read from pieces of any size, as is the request after it")
    {
        for (std::size_t piece_size = 1; piece_size < first.size();
             ++piece_size)
        {
            auto const outcome = read_requests(first + second, piece_size);
            REQUIRE(outcome.requests.size() == 2);
            CHECK(outcome.requests[0].method == "POST");
            CHECK(outcome.requests[0].target == "/a/b?c=d");
            CHECK(outcome.requests[0].body == "hello");
            CHECK(*outcome.requests[0].fields.find("request-id") == "1");
            CHECK(outcome.requests[1].target == "/e");
        }
    }
    SUBCASE("with a chunked body is read completely")
    {
        auto const outcome = read_requests(
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
                second,
            7);
        REQUIRE(outcome.requests.size() == 2);
        CHECK(outcome.requests[0].body == "abcde");
    }
    SUBCASE("that is ambiguous is rejected")
    {
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                        "Content-Length: 6\r\n\r\nhello!") ==
              read_status::malformed);
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                        "Content-Length: 5\r\n\r\nhello") ==
              read_status::malformed);
        CHECK(status_of("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\n"
                        "Transfer-Encoding: xchunked\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\n"
                        "Transfer-Encoding: gzip\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n") ==
              read_status::malformed);
        CHECK(status_of("GET / HTTP/1.1\r\nHost : x\r\n\r\n") ==
              read_status::malformed);
    }
    SUBCASE("that requests a protocol upgrade still has its body read")
    {
        auto const outcome = read_requests(
            "POST / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
            "Upgrade: y\r\nContent-Length: 33\r\n\r\n"
            "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n" +
                second,
            1'000);
        REQUIRE(outcome.requests.size() == 2);
        CHECK(outcome.requests[0].body.size() == 33);
        CHECK(outcome.requests[1].target == "/e");
    }
    SUBCASE("is rejected if its header or body is too large")
    {
        auto const long_header =
            "GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(400, 'a') +
            "\r\n\r\n";
        CHECK(read_requests(long_header, 50, {.header_bytes = 300}).last ==
              read_status::header_too_large);
        CHECK(read_requests(first, 9, {.body_bytes = 4}).last ==
              read_status::body_too_large);
        CHECK(read_requests("POST / HTTP/1.1\r\nHost: x\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                            4, {.body_bytes = 4})
                  .last == read_status::body_too_large);
    }
    SUBCASE("never becomes two requests if bytes are corrupted")
    {
        CHECK(rc::check(
            [&]
            {
                auto corrupted = first;
                auto const changes = *rc::gen::inRange(1, 4);
                for (int i = 0; i < changes; ++i)
                {
                    auto const at =
                        *rc::gen::inRange<std::size_t>(0, corrupted.size());
                    corrupted[at] = *rc::gen::arbitrary<char>();
                }
                auto const piece_size =
                    *rc::gen::inRange<std::size_t>(1, corrupted.size());
                auto const outcome = read_requests(corrupted, piece_size);
                RC_ASSERT(outcome.requests.size() <= 1);
                // A forwarded request is read as the same single request.
                for (auto const& request : outcome.requests)
                {
                    auto forwarded = request;
                    forwarded.fields.remove_hop_by_hop();
                    auto const reread =
                        read_requests(write_request(forwarded), 1'000);
                    RC_ASSERT(reread.requests.size() == 1);
                    RC_ASSERT(reread.requests[0].target == request.target);
                    RC_ASSERT(reread.requests[0].body == request.body);
                }
            }));
    }
}

TEST_CASE("a response from an upstream")
{
    http_reader reader(http_reader::direction::response);

    SUBCASE("without a length ends with the connection")
    {
        std::string_view bytes = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc";
        CHECK(reader.feed(bytes) == read_status::need_more);
        REQUIRE(reader.finish() == read_status::complete);
        auto const response = reader.take_response();
        CHECK(response.body == "abc");
        CHECK(response.ended_by_close);
        CHECK_FALSE(response.keep_alive);
    }
    SUBCASE("that is shorter than its length is malformed")
    {
        std::string_view bytes =
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
        CHECK(reader.feed(bytes) == read_status::need_more);
        CHECK(reader.finish() == read_status::malformed);
    }
    SUBCASE("that ends within a chunk is malformed")
    {
        std::string_view bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n5\r\nabc";
        CHECK(reader.feed(bytes) == read_status::need_more);
        CHECK(reader.finish() == read_status::malformed);
    }
    SUBCASE("leaves the bytes after it unread")
    {
        std::string_view bytes =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200";
        CHECK(reader.feed(bytes) == read_status::complete);
        CHECK(bytes == "HTTP/1.1 200");
    }
    SUBCASE("that is not HTTP is malformed")
    {
        std::string_view bytes = "\x01\x02garbage\r\n\r\n";
        CHECK(reader.feed(bytes) == read_status::malformed);
    }
}

TEST_CASE("hop-by-hop fields are removed")
{
    http_fields fields;
    fields.add("Connection", "keep-alive, X-Hop");
    fields.add("X-Hop", "1");
    fields.add("Keep-Alive", "timeout=5");
    fields.add("Transfer-Encoding", "chunked");
    fields.add("Content-Length", "3");
    fields.add("X-Kept", "2");
    fields.remove_hop_by_hop();
    REQUIRE(fields.all().size() == 1);
    CHECK(fields.all()[0].name == "X-Kept");

    SUBCASE("and a field that is set occurs once")
    {
        fields.add("x-kept", "3");
        fields.set("X-KEPT", "4");
        CHECK(fields.count("X-Kept") == 1);
        CHECK(*fields.find("x-kept") == "4");
    }
}

TEST_CASE("a response that is cut off is never complete")
{
    std::string const body = "Hello, world";
    std::string const head = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n";
    std::string bytes;
    // Where a cut leaves a complete response.
    std::size_t complete_from = 0;

    SUBCASE("with a length")
    {
        bytes = head + "Content-Length: 12\r\nX-Last: 1\r\n\r\n" + body;
        complete_from = bytes.size();
    }
    SUBCASE("after an interim response")
    {
        bytes = "HTTP/1.1 100 Continue\r\n\r\n" + head +
                "Content-Length: 12\r\n\r\n" + body;
        complete_from = bytes.size();
    }
    SUBCASE("in chunks, with a trailer")
    {
        bytes = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nHello\r\n"
                       "7;x=y\r\n, world\r\n0\r\nX-Trailer: 1\r\n\r\n";
        complete_from = bytes.size();
    }
    SUBCASE("without a length, in its head")
    {
        bytes = head + "X-Last: 1\r\n\r\n" + body;
        complete_from = bytes.size() - body.size();
    }
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    {
        CAPTURE(cut);
        http_reader reader(http_reader::direction::response);
        std::string_view rest(bytes.data(), cut);
        auto status = reader.feed(rest);
        if (status == read_status::complete && !rest.empty())
        {
            // The interim response.
            CHECK(reader.take_response().status == 100);
            status = reader.feed(rest);
        }
        bool const is_complete = status == read_status::need_more
                                     ? reader.finish() == read_status::complete
                                     : status == read_status::complete &&
                                           reader.take_response().status != 100;
        CHECK(is_complete == (cut >= complete_from));
    }
}

TEST_CASE("the status line of a response")
{
    std::string const rest = "\r\nContent-Length: 2\r\n\r\nok";

    SUBCASE("may have any reason, or none")
    {
        for (std::string const line :
             {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
              "HTTP/1.0 200 OK", "HTTP/1.1 599 \xc3\xa9\tx"})
        {
            CAPTURE(line);
            CHECK(read_response(line + rest) == read_status::complete);
        }
    }
    SUBCASE("has a status of three digits from 100 to 599")
    {
        for (std::string const line :
             {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
              "HTTP/1.1 999 OK", "HTTP/1.1 2 OK", "HTTP/1.1 20 OK",
              "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -200 OK",
              "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1 ", "HTTP/1.1"})
        {
            CAPTURE(line);
            CHECK(read_response(line + rest) == read_status::malformed);
        }
    }
    SUBCASE("is separated by single blanks")
    {
        for (std::string const line : {"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
                                       "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK"})
        {
            CAPTURE(line);
            CHECK(read_response(line + rest) == read_status::malformed);
        }
    }
    SUBCASE("has no control byte in its reason")
    {
        for (std::string const& reason :
             {std::string("O\x01K"), std::string("O\0K", 3),
              std::string("O\x7fK")})
        {
            CAPTURE(reason);
            CHECK(read_response(absl::StrCat("HTTP/1.1 200 ", reason, rest)) ==
                  read_status::malformed);
        }
    }
    SUBCASE("names HTTP/1")
    {
        for (std::string const line :
             {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11.1 200 OK",
              "HTTP/1. 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK",
              "GET / HTTP/1.1"})
        {
            CAPTURE(line);
            CHECK(read_response(line + rest) == read_status::malformed);
        }
    }
    SUBCASE("does not switch protocols, which no request asks for")
    {
        CHECK(read_response("HTTP/1.1 101 Switching Protocols\r\n"
                            "Upgrade: x\r\nConnection: upgrade\r\n\r\n") ==
              read_status::malformed);
    }
}

TEST_CASE("a line of a response's head")
{
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    std::string const length = "Content-Length: 2\r\n";
    // As the first line, between two others and as the last one.
    auto const read_with = [&](std::string const& line)
    {
        auto const read = [&](std::string const& head)
        { return read_response(status_line + head + "\r\nok"); };
        auto const status = read(line + length);
        CHECK(read("Test-Id: 7\r\n" + line + length) == status);
        CHECK(read(length + line) == status);
        return status;
    };

    SUBCASE("may hold any value without control bytes")
    {
        for (std::string const line :
             {"X-Test: a b\tc\r\n", "X-Test:\r\n", "X-Test: \xc3\xa9 \r\n",
              "!#$%&'*+-.^_`|~09aZ:x\r\n"})
        {
            CAPTURE(line);
            CHECK(read_with(line) == read_status::complete);
        }
    }
    SUBCASE("has no blank or control byte in its name")
    {
        for (char const byte : std::string(" \t\r\n\v\f\0\x01\x1f\x7f", 10))
            for (std::size_t at = 0; at <= 5; ++at)
            {
                auto name = std::string("X-Bad");
                name.insert(at, 1, byte);
                CAPTURE(name);
                CHECK(read_with(name + ": 1\r\n") == read_status::malformed);
            }
    }
    SUBCASE("has no control byte in its value")
    {
        for (char const byte : std::string("\r\n\v\f\0\x01\x1f\x7f", 8))
        {
            CAPTURE(static_cast<int>(byte));
            CHECK(read_with(std::string("X-Bad: 1") + byte + "2\r\n") ==
                  read_status::malformed);
        }
    }
    SUBCASE("does not continue the one before")
    {
        for (std::string const line :
             {"X-Test: 1\r\n 2\r\n", "X-Test: 1\r\n\t2\r\n",
              "X-Test:\r\n 2\r\n", "X-Test: 1\r\n Content-Length: 1\r\n"})
        {
            CAPTURE(line);
            CHECK(read_with(line) == read_status::malformed);
        }
    }
    SUBCASE("has a name and a colon")
    {
        for (std::string const line : {": 1\r\n", "X-Bad\r\n", "X\"Bad: 1\r\n",
                                       "X(Bad: 1\r\n", "X\xc3\xa9: 1\r\n"})
        {
            CAPTURE(line);
            CHECK(read_with(line) == read_status::malformed);
        }
    }
    SUBCASE("ends with CR and LF")
    {
        for (std::string const line : {"X-Test: 1\n", "X-Test: 1\r",
                                       "X-Test: 1\r\r\n", "X-Test: 1\n\r\n"})
        {
            CAPTURE(line);
            CHECK(read_with(line) == read_status::malformed);
        }
        CHECK(read_response("HTTP/1.1 200 OK\n" + length + "\r\nok") ==
              read_status::malformed);
        CHECK(read_response("HTTP/1.1 200 O\rK\r\n" + length + "\r\nok") ==
              read_status::malformed);
        for (std::string const end : {"\n", "\r", "\n\n", "\r\r"})
            CHECK(read_response(absl::StrCat(status_line, length, end, "ok")) ==
                  read_status::malformed);
    }
    SUBCASE("of an interim response is checked as well")
    {
        for (std::string const line :
             {"X Bad: 1\r\n", "\rX-Bad: 1\r\n", "\nX-Bad: 1\r\n"})
        {
            CAPTURE(line);
            CHECK(read_response("HTTP/1.1 100 Continue\r\n" + line + "\r\n") ==
                  read_status::malformed);
        }
    }
}

TEST_CASE("a response in chunks")
{
    std::string const head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    SUBCASE("may have extensions and blanks after the sizes")
    {
        CHECK(
            read_response(head + "2;a=b\r\nok\r\n002 \r\nok\r\n0;c\r\n\r\n") ==
            read_status::complete);
    }
    SUBCASE("ends each chunk and each size with CR LF")
    {
        for (std::string const body :
             {"2\r\nokXY0\r\n\r\n", "2\r\nok\n\n0\r\n\r\n",
              "2\r\nok\r\r0\r\n\r\n", "2\r\nok\n0\r\n\r\n",
              "2\r\nok\r\n0\r\r\r\n", "2\rXok\r\n0\r\n\r\n",
              "2\nok\r\n0\r\n\r\n", "2;a\nb\r\nok\r\n0\r\n\r\n",
              "2;a\rb\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n",
              "2\r\nokay\r\n0\r\n\r\n"})
        {
            CAPTURE(body);
            CHECK(read_response(head + body) == read_status::malformed);
        }
    }
    SUBCASE("has sizes of hexadecimal digits")
    {
        for (std::string const body :
             {"\r\nok\r\n0\r\n\r\n", "+2\r\nok\r\n0\r\n\r\n",
              "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n",
              " 2\r\nok\r\n0\r\n\r\n", "2g\r\nok\r\n0\r\n\r\n",
              "10000000000000002\r\nok\r\n0\r\n\r\n"})
        {
            CAPTURE(body);
            CHECK(read_response(head + body) == read_status::malformed);
        }
    }
}

TEST_CASE("the trailer of a message")
{
    std::string const chunks = "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\nok\r\n0\r\n";
    std::string const head = "HTTP/1.1 200 OK\r\nTest-Id: 7\r\n" + chunks;

    SUBCASE("is not a part of its header")
    {
        std::string const trailer = "Test-Not-Run: 1\r\nTest-Id: 8\r\n\r\n";
        auto const response_bytes = head + trailer;
        std::string_view rest = response_bytes;
        http_reader responses(http_reader::direction::response);
        REQUIRE(responses.feed(rest) == read_status::complete);
        auto const response = responses.take_response();
        CHECK(response.body == "ok");
        CHECK(response.fields.find("Test-Not-Run") == nullptr);
        CHECK(response.fields.count("Test-Id") == 1);

        auto const request = read_requests(
            "POST / HTTP/1.1\r\nHost: x\r\n" + chunks + trailer, 3);
        REQUIRE(request.requests.size() == 1);
        CHECK(request.requests[0].body == "ok");
        CHECK(request.requests[0].fields.find("Test-Not-Run") == nullptr);
    }
    SUBCASE("has no blank or control byte in the name of a field")
    {
        for (char const byte : std::string(" \t\r\n\v\f\0\x01\x1f\x7f", 10))
            for (std::size_t at = 0; at <= 5; ++at)
            {
                auto name = std::string("X-Bad");
                name.insert(at, 1, byte);
                CAPTURE(name);
                auto const line = name + ": 1\r\n";
                CHECK(read_response(head + line + "\r\n") ==
                      read_status::malformed);
                CHECK(read_response(
                          absl::StrCat(head, "X-Test: 1\r\n", line, "\r\n")) ==
                      read_status::malformed);
            }
    }
    SUBCASE("has no control byte in the value of a field")
    {
        for (char const byte : std::string("\r\n\v\f\0\x01\x1f\x7f", 8))
        {
            CAPTURE(static_cast<int>(byte));
            CHECK(read_response(head + "X-Bad: 1" + byte + "2\r\n\r\n") ==
                  read_status::malformed);
        }
    }
    SUBCASE("is limited like a header")
    {
        http_reader reader(http_reader::direction::response,
                           {.header_bytes = 200});
        auto const bytes = head + "X-Long: " + std::string(200, 'a');
        std::string_view rest = bytes;
        CHECK(reader.feed(rest) == read_status::header_too_large);
    }
}

TEST_CASE("the framing of a response")
{
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    std::string const chunks = "\r\n2\r\nok\r\n0\r\n\r\n";

    SUBCASE("may be in chunks, or end with the connection")
    {
        for (std::string const value :
             {"chunked", "Chunked", "chunked ", "\tchunked"})
            CHECK(read_response(
                      absl::StrCat(status_line, "Transfer-Encoding:", value,
                                   "\r\n", chunks)) == read_status::complete);
        CHECK(read_response(status_line +
                            "Transfer-Encoding: identity\r\n\r\nok") ==
              read_status::complete);
    }
    SUBCASE("has no coding that is not removed from the body")
    {
        for (std::string const value :
             {"gzip", "xchunked", "chunkedx", "chunked;x", "", "gzip, chunked",
              "chunked, gzip", "chunked, chunked", "identity, chunked",
              "gzip\r\nTransfer-Encoding: chunked",
              "chunked\r\nTransfer-Encoding: identity"})
        {
            CAPTURE(value);
            CHECK(read_response(
                      absl::StrCat(status_line, "Transfer-Encoding: ", value,
                                   "\r\n", chunks)) == read_status::malformed);
        }
        CHECK(status_of("POST / HTTP/1.1\r\nHost: x\r\n"
                        "Transfer-Encoding: gzip, chunked\r\n" +
                        chunks) == read_status::malformed);
    }
    SUBCASE("has one length in digits, and no coding beside it")
    {
        for (std::string const value :
             {"", "+2", "-2", "2x", "0x2", "2 2", "2, 2", "2,",
              "99999999999999999999", "2\r\nContent-Length: 2",
              "2\r\nContent-Length: 3", "2\r\nTransfer-Encoding: chunked",
              "2\r\nTransfer-Encoding: identity"})
        {
            CAPTURE(value);
            CHECK(read_response(
                      absl::StrCat(status_line, "Content-Length: ", value,
                                   "\r\n", chunks)) == read_status::malformed);
        }
        CHECK(read_response(status_line +
                            "Transfer-Encoding: chunked\r\n"
                            "Content-Length: 2\r\n" +
                            chunks) == read_status::malformed);
    }
    SUBCASE("of a status without a body is not waited for")
    {
        for (std::string const status : {"304", "204", "103"})
            for (std::string const field :
                 {"", "Content-Length: 0\r\n", "Content-Length: 2\r\n",
                  "Transfer-Encoding: chunked\r\n"})
            {
                CAPTURE(status);
                CAPTURE(field);
                auto const bytes = absl::StrCat(
                    "HTTP/1.1 ", status, " Status\r\n", field, "\r\nnext");
                std::string_view rest = bytes;
                http_reader reader(http_reader::direction::response);
                CHECK(reader.feed(rest) == read_status::complete);
                CHECK(rest == "next");
                auto const response = reader.take_response();
                CHECK(std::to_string(response.status) == status);
                CHECK(response.body.empty());
                // A body might follow, except after 304, where the field tells
                // of the response to another request.
                bool const announces_body = field.find('2') != field.npos ||
                                            field.find('T') != field.npos;
                CHECK(response.keep_alive ==
                      (status == "304" || !announces_body));
            }
    }
}
