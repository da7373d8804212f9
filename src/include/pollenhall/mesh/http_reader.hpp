// Reads HTTP/1.1 messages one at a time from bytes, strictly. What it accepts
// is written again by `http_message`, so nothing ambiguous is passed on.

#pragma once

#include <pollenhall/mesh/http_message.hpp>

#include <cstddef>
#include <string_view>

#include <http_parser.h>

namespace pollenhall::mesh
{

/// What a reader accepts.
struct http_reader_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{64} * 1'024 * 1'024;
};

/// State of the message that is being read.
enum class read_status
{
    need_more,
    complete,
    /// Not valid HTTP/1.1, or ambiguous.
    malformed,
    header_too_large,
    body_too_large
};

/// Reads messages of one direction. After `complete`, take the message, then
/// feed the rest of the bytes. Not thread-safe.
class http_reader
{
public:
    enum class direction
    {
        request,
        response
    };

    explicit http_reader(direction what, http_reader_limits limits = {});
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    /// Takes bytes until a message is complete or an error is found, and
    /// removes what it took from `data`.
    read_status feed(std::string_view& data);
    /// Notes the orderly end of the connection, which completes a response
    /// without a length.
    read_status finish();

    /// Whether any byte of the current message was read.
    [[nodiscard]] bool started() const { return started_; }
    /// Whether the header of the current message was read.
    [[nodiscard]] bool header_complete() const { return header_complete_; }
    /// Bytes of the current message's body that were read.
    [[nodiscard]] std::size_t body_size() const { return body_.size(); }
    /// Whether the sender waits for an interim response before its body.
    [[nodiscard]] bool expects_continue() const;

    /// The next response answers a HEAD request and has no body.
    void expect_no_body() { no_body_ = true; }
    void set_limits(http_reader_limits limits) { limits_ = limits; }

    /// Removes the complete message and makes ready for the next.
    http_request take_request();
    http_response take_response();

private:
    static int on_url(http_parser* parser, char const* at, std::size_t size);
    static int on_reason(http_parser* parser, char const* at, std::size_t size);
    static int on_field(http_parser* parser, char const* at, std::size_t size);
    static int on_value(http_parser* parser, char const* at, std::size_t size);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, std::size_t size);
    static int on_complete(http_parser* parser);
    static http_parser_settings const& settings();
    static http_reader& self(http_parser* parser)
    {
        return *static_cast<http_reader*>(parser->data);
    }

    bool count_header(std::size_t size);
    [[nodiscard]] bool header_is_valid() const;
    void reset();

    direction direction_;
    http_reader_limits limits_;
    http_parser parser_{};
    std::string start_;
    http_fields fields_;
    std::string body_;
    std::size_t header_size_ = 0;
    bool in_value_ = false;
    bool started_ = false;
    bool header_complete_ = false;
    bool complete_ = false;
    bool no_body_ = false;
    bool keep_alive_ = true;
    bool by_close_ = false;
    read_status failure_ = read_status::malformed;
};

} // namespace pollenhall::mesh
