// Tests the codec of messages between nodes, the quoting of log values and the
// parsing of a daemon's settings. Guards against fields that are lost in
// conversion, and against decoders that crash on or accept malformed input,
// which any peer on the network can send.

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/io/wire_codec.hpp>
#include <pollenhall/version.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace
{

using namespace pollenhall;

forwarded_call make_call(std::string body)
{
    forwarded_call call;
    call.kind = {service_name("orders"), kind_name("place")};
    call.method = "POST";
    call.target = "/a?b=c";
    call.headers = {{"X-Test", std::string("\0\xff", 2)}};
    call.body = std::make_shared<std::string const>(std::move(body));
    call.deadline = mono_time(seconds{5});
    call.lent = retry_count(2);
    call.level = importance::critical;
    call.key = idempotency_key::parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    call.content = fingerprint(0xFFFF'FFFF'FFFF'FFFFULL);
    return call;
}

std::string encode_call(forwarded_call const& call)
{
    wire::frame frame;
    frame.__set_request(to_wire(call, correlation_id(9), mono_time{}));
    return encode_frame(frame);
}

gossip_message make_gossip()
{
    gossip_message message;
    message.kind = gossip_kind::ping;
    message.sender.node = node_id("a");
    message.sender.endpoint = {"127.0.0.1", 7};
    message.updates = {message.sender};
    message.spaces = {{"member/x", generation(3)}};
    message.bucket_hashes.assign(bucket_count, ~0ULL);
    return message;
}

} // namespace

TEST_CASE("encoding and decoding a frame preserves the call")
{
    CHECK(rc::check(
        "any body",
        []
        {
            auto const body = *rc::gen::arbitrary<std::string>();
            auto const call = make_call(body);
            auto const bytes = encode_call(call);
            RC_ASSERT(decode_frame_length(bytes) ==
                      bytes.size() - frame_header_bytes);
            auto frame = decode_frame(
                std::string_view(bytes).substr(frame_header_bytes));
            RC_ASSERT(frame.ok());
            auto const read = from_wire(std::move(frame->request), mono_time{});
            RC_ASSERT(read.ok());
            RC_ASSERT(*read->body == body);
            RC_ASSERT(read->headers.at(0).value == call.headers.at(0).value);
            RC_ASSERT(read->key == call.key);
            RC_ASSERT(read->deadline == call.deadline);
            RC_ASSERT(read->content == call.content);
        }));
}

TEST_CASE("decoding the answer of a peer")
{
    call_result valid;
    valid.what = outcome::completed;
    valid.status = 200;
    valid.headers = {{.name = "X-Test", .value = "a b\t\xff"}};
    valid.body = "Hello";
    auto const decode = [](call_result const& result, auto&& change)
    {
        auto answer = to_wire(result, correlation_id(9));
        change(answer);
        return from_wire(std::move(answer));
    };
    auto const decode_result = [&](call_result const& result)
    { return decode(result, [](wire::call_answer&) {}); };

    SUBCASE("preserves it")
    {
        for (int const status : {200, 204, 404, 500, 599})
        {
            valid.status = status;
            auto const read = decode_result(valid);
            REQUIRE(read.ok());
            CHECK(read->what == outcome::completed);
            CHECK(read->status == status);
            CHECK(read->headers.at(0).value == valid.headers[0].value);
            CHECK(read->body == "Hello");
            CHECK(read->from_peer);
        }
        auto const refused = decode_result(make_refusal(refusal::shed));
        REQUIRE(refused.ok());
        CHECK(refused->reason == refusal::shed);
        CHECK(decode_result(make_unknown_result()).ok());
    }
    SUBCASE("rejects one without a valid status or outcome")
    {
        for (int const status : {-1, 0, 99, 100, 199, 600, 999})
        {
            CAPTURE(status);
            valid.status = status;
            CHECK_FALSE(decode_result(valid).ok());
        }
        valid.status = 200;
        for (int const code : {-1, 0, 4, 99})
        {
            CAPTURE(code);
            CHECK_FALSE(decode(valid,
                               [&](wire::call_answer& answer) {
                                   answer.outcome =
                                       static_cast<wire::outcome_code::type>(
                                           code);
                               })
                            .ok());
        }
    }
    SUBCASE("rejects one with an invalid field")
    {
        for (std::string const name :
             {"", "X Bad", " X-Bad", "X-Bad\r", "X\tBad", "X:Bad", "X\x01"})
        {
            CAPTURE(name);
            valid.headers[0] = {.name = name, .value = "1"};
            CHECK_FALSE(decode_result(valid).ok());
        }
        for (std::string const value : {"a\r\nX: 1", "a\nb", "\x01", "\x7f"})
        {
            CAPTURE(value);
            valid.headers[0] = {.name = "X-Test", .value = value};
            CHECK_FALSE(decode_result(valid).ok());
        }
    }
}

TEST_CASE("decoding a malformed frame")
{
    auto const bytes = encode_call(make_call("body"));
    std::string const body = bytes.substr(frame_header_bytes);

    SUBCASE("rejects a frame that is truncated at any byte")
    {
        for (std::size_t size = 0; size < body.size(); ++size)
            CHECK_FALSE(decode_frame(body.substr(0, size)).ok());
    }
    SUBCASE("rejects bytes after the frame")
    {
        CHECK_FALSE(decode_frame(body + "x").ok());
    }
    SUBCASE("does not crash on changed bytes")
    {
        CHECK(rc::check("corruption",
                        [&]
                        {
                            auto corrupted = body;
                            auto const changes = *rc::gen::inRange(1, 6);
                            for (int i = 0; i < changes; ++i)
                            {
                                auto const at =
                                    static_cast<std::size_t>(*rc::gen::inRange(
                                        0, static_cast<int>(corrupted.size())));
                                corrupted[at] = *rc::gen::arbitrary<char>();
                            }
                            static_cast<void>(decode_frame(corrupted));
                        }));
    }
    SUBCASE("does not crash on arbitrary bytes")
    {
        CHECK(rc::check("noise",
                        []
                        {
                            auto const noise =
                                *rc::gen::arbitrary<std::string>();
                            static_cast<void>(decode_frame(noise));
                            static_cast<void>(decode_gossip(noise));
                        }));
    }
}

TEST_CASE("encoding and decoding a datagram preserves the gossip message")
{
    auto const message = make_gossip();
    auto const bytes = encode_gossip(message);
    CHECK(bytes.size() < 1'400);
    auto const read = decode_gossip(bytes);
    REQUIRE(read.ok());
    CHECK(read->updates == message.updates);
    CHECK(read->spaces == message.spaces);
    CHECK(read->bucket_hashes == message.bucket_hashes);
}

TEST_CASE(
    "rejects a datagram of another protocol version and names the version")
{
    using namespace apache::thrift;
    wire::gossip_datagram datagram;
    datagram.protocol_version = protocol_version + 1;
    auto const buffer = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> out(buffer);
    datagram.write(&out);
    auto const read = decode_gossip(buffer->getBufferAsString());
    CHECK(read.status().code() == absl::StatusCode::kFailedPrecondition);
    CHECK(std::string(read.status().message()) ==
          "protocol version 2 is not supported");
}

TEST_CASE("quoted log values cannot inject lines or pairs")
{
    CHECK(quote_log_value("plain-1.0/x") == "plain-1.0/x");
    CHECK(quote_log_value("") == "\"\"");
    CHECK(quote_log_value("a b=c") == "\"a b=c\"");
    CHECK(quote_log_value("x\" event=\"y") == "\"x\\\" event=\\\"y\"");
    CHECK(quote_log_value("two\nlines") == "\"two\\x0alines\"");
}

TEST_CASE("parsing the settings of a daemon")
{
    std::string const good = "[node]\nname = a\nzone = z\n"
                             "address = 127.0.0.1\ncaller-port = 1\n"
                             "peer-port = 2\noperator-port = 3\n"
                             "[store]\naddress = 127.0.0.1:2379\n"
                             "[operators]\nkey-hash = " +
                             std::string(key_hash_digits, 'a') + "\n";
    finding_list findings;

    SUBCASE("accepts valid settings")
    {
        auto const settings = parse_settings("a.ini", good, findings);
        CHECK(findings.empty());
        CHECK(settings.store.port == 2379);
        CHECK(settings.policy == policy_mode::full);
    }
    SUBCASE("reports all faults in one pass")
    {
        parse_settings("a.ini",
                       "[node]\nname = A\nzone = z\naddress = here\n"
                       "caller-port = 99999\n[peers]\nseeds = x\n[extra]\n",
                       findings);
        // Invalid name, address and three ports, invalid seed, unknown section,
        // missing [store] and [operators].
        CHECK(findings.items().size() == 9);
    }
}
