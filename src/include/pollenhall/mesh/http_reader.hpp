// Strict incremental parser for HTTP/1.1 messages. Accepted messages are
// serialized anew by `http_message`, so that no ambiguous message is forwarded.

#pragma once

#include <pollenhall/mesh/http_message.hpp>
#include <pollenhall/mesh/line_check.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

namespace pollenhall::mesh
{

/// Maximum sizes of a message that a reader accepts.
struct http_reader_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{64} * 1'024 * 1'024;
};

/// Result of reading from a connection.
enum class read_status
{
    /// The message is incomplete.
    need_more,
    complete,
    /// The message is not valid HTTP/1.1 or is ambiguous.
    malformed,
    header_too_large,
    body_too_large
};

/// Reads either requests or responses. After `complete`, take the message
/// before feeding the remaining bytes. Not thread-safe.
class http_reader
{
public:
    enum class direction
    {
        request,
        response
    };

    explicit http_reader(direction message_direction,
                         http_reader_limits limits = {});
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    /// Consumes bytes from the front of `data` until a message is complete or
    /// an error is found.
    read_status feed(std::string_view& data);
    /// Handles the orderly end of the connection, which completes a response
    /// without a length.
    read_status finish();

    /// Whether any byte of the current message was read.
    [[nodiscard]] bool started() const { return started_; }
    /// Whether the header of the current message was read.
    [[nodiscard]] bool header_complete() const { return header_complete_; }
    /// Number of bytes of the current message's body that were read.
    [[nodiscard]] std::size_t body_size() const { return body_.size(); }
    /// Length of the current message's body if its header states one, else 0.
    [[nodiscard]] std::size_t announced_body_size() const
    {
        return announced_body_size_;
    }
    /// Allocates memory for the announced body, which otherwise grows in steps
    /// and takes up to twice as much.
    void reserve_body() { body_.reserve(announced_body_size_); }
    /// Fields of the current message; incomplete before the whole header.
    [[nodiscard]] http_fields const& fields() const { return fields_; }
    /// Whether the sender waits for an interim response before it sends the
    /// body (`Expect: 100-continue`).
    [[nodiscard]] bool expects_continue() const;

    /// Declares that the next response belongs to a HEAD request and has no
    /// body.
    void expect_no_body() { no_body_ = true; }
    void set_limits(http_reader_limits limits) { limits_ = limits; }

    /// Returns the complete message and resets the reader for the next one.
    http_request take_request();
    http_response take_response();

private:
    static int on_url(http_parser* parser, char const* at, std::size_t size);
    static int on_reason(http_parser* parser, char const* at, std::size_t size);
    static int on_field(http_parser* parser, char const* at, std::size_t size);
    static int on_value(http_parser* parser, char const* at, std::size_t size);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, std::size_t size);
    static int on_chunk_size(http_parser* parser);
    static int on_complete(http_parser* parser);
    static http_parser_settings const& settings();
    static http_reader& self(http_parser* parser)
    {
        return *static_cast<http_reader*>(parser->data);
    }

    // Passes bytes of one section, or of one chunk, to the parser and removes
    // them from `data`. Returns false on an error.
    bool parse_section(std::string_view& data);
    // Handles bytes of a chunk that were read. Returns false if the chunk does
    // not end with CR LF.
    bool on_chunk_read(std::string_view bytes);
    // Keeps the first bytes of the status line, which http_parser does not
    // check.
    void read_status_line_start(std::string_view data);
    // Fields of the section that is being read.
    std::vector<http_field>& current_fields()
    {
        return (header_complete_ ? trailer_ : fields_).all();
    }
    // Adds to the size of the header. Returns false if it exceeds the limit.
    bool add_header_bytes(std::size_t size);
    [[nodiscard]] bool header_is_valid() const;
    // Whether the transfer coding, if any, is chunks or identity. Any other one
    // would remain in the body, as the field that names it is not forwarded.
    [[nodiscard]] bool coding_is_known() const;
    void reset();

    direction direction_;
    http_reader_limits limits_;
    http_parser parser_{};
    // Set while a section of lines is read.
    std::optional<line_check> lines_;
    // Bytes of the current chunk, and of the CR LF after it, that were not read
    // yet.
    std::uint64_t chunk_rest_ = 0;
    // Last two bytes that were read of the current chunk.
    std::string chunk_end_;
    // First bytes of the status line; empty for requests.
    std::string status_line_start_;
    // Request target or reason phrase.
    std::string target_or_reason_;
    http_fields fields_;
    // Fields after the last chunk. They are checked and dropped: in the header,
    // they could change what the message means after its body was read.
    http_fields trailer_;
    std::string body_;
    std::size_t header_size_ = 0;
    std::size_t announced_body_size_ = 0;
    bool in_value_ = false;
    bool started_ = false;
    bool header_complete_ = false;
    bool complete_ = false;
    bool no_body_ = false;
    // Whether bytes may follow that are no part of this response.
    bool body_may_follow_ = false;
    bool keep_alive_ = true;
    bool ended_by_close_ = false;
    // Result if the parser fails.
    read_status failure_ = read_status::malformed;
};

} // namespace pollenhall::mesh
