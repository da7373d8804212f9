// Reads HTTP/1.1 messages with http_parser and rejects ambiguous ones.

#include <pollenhall/mesh/http_reader.hpp>

#include <algorithm>

namespace pollenhall::mesh
{
namespace
{

// Bytes of a status line up to the one after the status:
// "HTTP/1.1 200" and a blank or CR.
constexpr std::size_t status_line_start_bytes = 13;
constexpr unsigned switching_protocols = 101;
constexpr unsigned not_modified = 304;

// Whether a status line begins with the version, a blank and a status of three
// digits from 100 to 599. http_parser accepts any number of blanks and of
// digits, and any value.
bool is_status_line_start(std::string_view line)
{
    auto const is_digit = [](char c) { return c >= '0' && c <= '9'; };
    return line.size() == status_line_start_bytes &&
           line.substr(0, 7) == "HTTP/1." && is_digit(line[7]) &&
           line[8] == ' ' && line[9] >= '1' && line[9] <= '5' &&
           is_digit(line[10]) && is_digit(line[11]) &&
           (line[12] == ' ' || line[12] == '\r');
}

bool are_valid(http_fields const& fields)
{
    return std::all_of(fields.all().begin(), fields.all().end(),
                       [](http_field const& field)
                       { return is_valid_field(field.name, field.value); });
}

std::string last_bytes(std::string_view text, std::size_t count)
{
    return std::string(text.substr(text.size() - std::min(text.size(), count)));
}

} // namespace

http_reader::http_reader(direction message_direction, http_reader_limits limits)
    : direction_(message_direction), limits_(limits)
{
    reset();
}

void http_reader::reset()
{
    http_parser_init(&parser_, direction_ == direction::request
                                   ? HTTP_REQUEST
                                   : HTTP_RESPONSE);
    parser_.data = this;
    lines_.emplace(line_section::header);
    chunk_rest_ = 0;
    status_line_start_.clear();
    target_or_reason_.clear();
    fields_ = {};
    trailer_ = {};
    body_.clear();
    header_size_ = 0;
    announced_body_size_ = 0;
    in_value_ = false;
    started_ = false;
    header_complete_ = false;
    complete_ = false;
    no_body_ = false;
    body_may_follow_ = false;
    keep_alive_ = true;
    ended_by_close_ = false;
    failure_ = read_status::malformed;
}

http_parser_settings const& http_reader::settings()
{
    static http_parser_settings const callbacks = []
    {
        http_parser_settings made{};
        http_parser_settings_init(&made);
        made.on_url = on_url;
        made.on_status = on_reason;
        made.on_header_field = on_field;
        made.on_header_value = on_value;
        made.on_headers_complete = on_headers;
        made.on_body = on_body;
        made.on_chunk_header = on_chunk_size;
        made.on_message_complete = on_complete;
        return made;
    }();
    return callbacks;
}

read_status http_reader::feed(std::string_view& data)
{
    started_ = started_ || !data.empty();
    if (direction_ == direction::response)
        read_status_line_start(data);
    while (!complete_ && !data.empty())
        if (!parse_section(data))
            return HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW
                       ? read_status::header_too_large
                       : failure_;
    return complete_ ? read_status::complete : read_status::need_more;
}

bool http_reader::parse_section(std::string_view& data)
{
    auto bytes = data;
    bool const is_chunk = chunk_rest_ > 0;
    if (lines_)
    {
        auto const size = lines_->read(data);
        if (!size)
            return false;
        bytes = data.substr(0, *size);
        if (lines_->ended())
            lines_.reset();
    }
    else if (is_chunk)
        bytes = data.substr(0, chunk_rest_);
    // The callbacks set what follows the section.
    auto const consumed =
        http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
    data.remove_prefix(std::min(consumed, data.size()));
    if (complete_)
        return true;
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK &&
           (!is_chunk || on_chunk_read(bytes));
}

bool http_reader::on_chunk_read(std::string_view bytes)
{
    constexpr std::size_t line_end_bytes = 2;
    chunk_rest_ -= bytes.size();
    chunk_end_ += last_bytes(bytes, line_end_bytes);
    chunk_end_ = last_bytes(chunk_end_, line_end_bytes);
    if (chunk_rest_ > 0)
        return true;
    lines_.emplace(line_section::chunk_size);
    return chunk_end_ == "\r\n";
}

read_status http_reader::finish()
{
    if (complete_)
        return read_status::complete;
    if (!header_complete_)
        return read_status::malformed;
    ended_by_close_ = true;
    http_parser_execute(&parser_, &settings(), nullptr, 0);
    return complete_ ? read_status::complete : read_status::malformed;
}

void http_reader::read_status_line_start(std::string_view data)
{
    if (status_line_start_.size() == status_line_start_bytes)
        return;
    // http_parser skips empty lines before the status line.
    if (status_line_start_.empty())
        data.remove_prefix(
            std::min(data.find_first_not_of("\r\n"), data.size()));
    status_line_start_ +=
        data.substr(0, status_line_start_bytes - status_line_start_.size());
}

bool http_reader::expects_continue() const
{
    auto const* expect = fields_.find("Expect");
    return expect != nullptr && equal_names(*expect, "100-continue");
}

http_request http_reader::take_request()
{
    http_request request{
        .method = http_method_str(static_cast<http_method>(parser_.method)),
        .target = std::move(target_or_reason_),
        .fields = std::move(fields_),
        .body = std::move(body_),
        .keep_alive = keep_alive_};
    reset();
    return request;
}

http_response http_reader::take_response()
{
    http_response response{.status = static_cast<int>(parser_.status_code),
                           .reason = std::move(target_or_reason_),
                           .fields = std::move(fields_),
                           .body = std::move(body_),
                           .keep_alive = keep_alive_ && !ended_by_close_,
                           .ended_by_close = ended_by_close_};
    reset();
    return response;
}

bool http_reader::add_header_bytes(std::size_t size)
{
    header_size_ += size;
    if (header_size_ <= limits_.header_bytes)
        return true;
    failure_ = read_status::header_too_large;
    return false;
}

bool http_reader::header_is_valid() const
{
    if (!are_valid(fields_) || parser_.http_major != 1 || !coding_is_known())
        return false;
    // A protocol is switched only if the request asks for it, which none does.
    if (direction_ == direction::response)
        return is_status_line_start(status_line_start_) &&
               !has_control(target_or_reason_) &&
               parser_.status_code != switching_protocols;
    // Rejects repeated framing fields, which make the end of the body
    // ambiguous, a repeated host, CONNECT, and targets that are not in origin
    // form.
    return fields_.count("Content-Length") <= 1 && fields_.count("Host") <= 1 &&
           parser_.method != HTTP_CONNECT && !target_or_reason_.empty() &&
           target_or_reason_.front() == '/' && !has_control(target_or_reason_);
}

bool http_reader::coding_is_known() const
{
    auto const* coding = fields_.find("Transfer-Encoding");
    if (coding == nullptr)
        return true;
    if (fields_.count("Transfer-Encoding") > 1 ||
        coding->find(',') != std::string::npos)
        return false;
    return (parser_.flags & F_CHUNKED) != 0 || equal_names(*coding, "identity");
}

int http_reader::on_url(http_parser* parser, char const* at, std::size_t size)
{
    auto& reader = self(parser);
    if (!reader.add_header_bytes(size))
        return 1;
    reader.target_or_reason_.append(at, size);
    return 0;
}

int http_reader::on_reason(http_parser* parser, char const* at,
                           std::size_t size)
{
    return on_url(parser, at, size);
}

int http_reader::on_field(http_parser* parser, char const* at, std::size_t size)
{
    auto& reader = self(parser);
    if (!reader.add_header_bytes(size))
        return 1;
    auto& fields = reader.current_fields();
    if (reader.in_value_ || fields.empty())
        fields.emplace_back();
    reader.in_value_ = false;
    fields.back().name.append(at, size);
    return 0;
}

int http_reader::on_value(http_parser* parser, char const* at, std::size_t size)
{
    auto& reader = self(parser);
    auto& fields = reader.current_fields();
    if (!reader.add_header_bytes(size) || fields.empty())
        return 1;
    reader.in_value_ = true;
    fields.back().value.append(at, size);
    return 0;
}

int http_reader::on_headers(http_parser* parser)
{
    auto& reader = self(parser);
    if (!reader.header_is_valid())
        return -1;
    reader.header_complete_ = true;
    // Protocol upgrades are not supported. Resetting the flag makes the parser
    // read the body.
    parser->upgrade = 0;
    bool const is_chunked = (parser->flags & F_CHUNKED) != 0;
    bool const has_length = parser->content_length != ~0ULL;
    if (reader.direction_ == direction::response &&
        !allows_body(parser->status_code))
    {
        // The body that a header announces against the rules may follow. After
        // a 304, it tells of the body of another response.
        reader.body_may_follow_ =
            parser->status_code != not_modified &&
            (is_chunked || (has_length && parser->content_length > 0));
        return 1;
    }
    if (reader.no_body_)
        return 1;
    if (has_length && parser->content_length > reader.limits_.body_bytes)
    {
        reader.failure_ = read_status::body_too_large;
        return -1;
    }
    if (has_length)
        reader.announced_body_size_ =
            static_cast<std::size_t>(parser->content_length);
    if (is_chunked)
        reader.lines_.emplace(line_section::chunk_size);
    return 0;
}

int http_reader::on_body(http_parser* parser, char const* at, std::size_t size)
{
    auto& reader = self(parser);
    if (reader.body_.size() + size > reader.limits_.body_bytes)
    {
        reader.failure_ = read_status::body_too_large;
        return 1;
    }
    reader.body_.append(at, size);
    return 0;
}

int http_reader::on_chunk_size(http_parser* parser)
{
    auto& reader = self(parser);
    // This does not overflow: http_parser rejects the largest sizes.
    if (parser->content_length > 0)
        reader.chunk_rest_ = parser->content_length + 2;
    else
        reader.lines_.emplace(line_section::trailer);
    return 0;
}

int http_reader::on_complete(http_parser* parser)
{
    auto& reader = self(parser);
    if (!are_valid(reader.trailer_))
        return 1;
    reader.keep_alive_ =
        http_should_keep_alive(parser) != 0 && !reader.body_may_follow_;
    reader.complete_ = true;
    // Stops the parser, so that the next call of feed() gets the bytes of the
    // next message.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace pollenhall::mesh
