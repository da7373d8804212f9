// HTTP/1.1 messages as whole values, and their written form.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pollenhall::mesh
{

/// Whether two header names or tokens are equal, without regard to case.
bool equal_names(std::string_view left, std::string_view right);

/// One field of a header.
struct http_field
{
    std::string name;
    std::string value;
};

/// Fields of a message in their order on the wire.
class http_fields
{
public:
    /// Value of the first field of that name; null if there is none.
    [[nodiscard]] std::string const* find(std::string_view name) const;
    /// Number of fields of that name.
    [[nodiscard]] int count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Removes all fields of that name.
    void remove(std::string_view name);
    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string value);
    /// Removes the fields that concern one connection only: those of RFC 9110
    /// section 7.6.1 and what `Connection` names.
    void remove_hop_by_hop();

    [[nodiscard]] std::vector<http_field> const& all() const { return fields_; }
    std::vector<http_field>& all() { return fields_; }

private:
    std::vector<http_field> fields_;
};

/// A whole request.
struct http_request
{
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
    // Whether the sender keeps the connection open for another request.
    bool keep_alive = true;
};

/// A whole response.
struct http_response
{
    int status = 0;
    std::string reason;
    http_fields fields;
    std::string body;
    // Whether the sender keeps the connection open after it.
    bool keep_alive = true;
    // Whether its end was told by the end of the connection alone.
    bool ended_by_close = false;
};

/// The reason phrase of RFC 9110 for `status`; "Unknown" if it has none.
std::string_view reason_phrase(int status);

/// Writes a request; a body is framed by its length.
std::string write_request(http_request const& request);

/// Writes a response to a request of `method`; a body is framed by its
/// length. `extra` is a block of whole header lines.
std::string write_response(http_response const& response,
                           std::string_view method,
                           std::string_view extra = {});

} // namespace pollenhall::mesh
