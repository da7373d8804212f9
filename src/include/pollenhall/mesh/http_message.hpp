// Complete HTTP/1.1 messages and their serialization.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pollenhall::mesh
{

/// Compares two header names or tokens, ignoring the case of ASCII letters.
bool equal_names(std::string_view left, std::string_view right);

/// Whether a header field has a name of token characters, and no control byte
/// but tabs in its value (RFC 9110, sections 5.1 and 5.5).
bool is_valid_field(std::string_view name, std::string_view value);

/// Whether `text` has a control byte other than a tab.
bool has_control(std::string_view text);

/// One header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// Header fields of a message, in their order on the wire.
class http_fields
{
public:
    /// Returns the value of the first field of that name, or null if there is
    /// none.
    [[nodiscard]] std::string const* find(std::string_view name) const;
    /// Returns the number of fields of that name.
    [[nodiscard]] int count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Removes all fields of that name.
    void remove(std::string_view name);
    /// Replaces all fields of that name by a single one.
    void set(std::string_view name, std::string value);
    /// Removes hop-by-hop fields: those of RFC 9110 section 7.6.1 and those
    /// that `Connection` lists. Also removes `Expect` and the framing fields,
    /// which are set for each connection separately.
    void remove_hop_by_hop();

    [[nodiscard]] std::vector<http_field> const& all() const { return fields_; }
    std::vector<http_field>& all() { return fields_; }

private:
    std::vector<http_field> fields_;
};

/// A complete request.
struct http_request
{
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
    // Whether the sender keeps the connection open for another request.
    bool keep_alive = true;
};

/// A complete response.
struct http_response
{
    int status = 0;
    std::string reason;
    http_fields fields;
    std::string body;
    // Whether the sender keeps the connection open after the response.
    bool keep_alive = true;
    // Whether the end of the body was marked only by closing the connection.
    bool ended_by_close = false;
};

/// Whether a response with `status` may have a body. One without a body ends
/// after its header, whatever the header says (RFC 9112, section 6.3).
bool allows_body(int status);

/// Returns the reason phrase of RFC 9110 for `status`, or "Unknown" if it has
/// none.
std::string_view reason_phrase(int status);

/// Serializes a request. The body is framed by `Content-Length`.
std::string write_request(http_request const& request);

/// Serializes a response to a request of `method`. The body is framed by
/// `Content-Length`. `extra` contains further complete header lines.
std::string write_response(http_response const& response,
                           std::string_view method,
                           std::string_view extra = {});

} // namespace pollenhall::mesh
