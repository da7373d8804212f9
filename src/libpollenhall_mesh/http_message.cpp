// Implements header fields and the serialization of HTTP/1.1 messages.

#include <pollenhall/mesh/http_message.hpp>

#include <algorithm>
#include <array>

#include <http_parser.h>

namespace pollenhall::mesh
{
namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "Connection", "Keep-Alive", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",
    "Upgrade",    "Expect",     "Content-Length"};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void append_fields(std::string& out, http_fields const& fields)
{
    for (auto const& field : fields.all())
    {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

} // namespace

bool equal_names(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

bool has_control(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c)
                       {
                           auto const byte = static_cast<unsigned char>(c);
                           return (byte < 0x20 && c != '\t') || byte == 0x7F;
                       });
}

bool is_valid_field(std::string_view name, std::string_view value)
{
    constexpr std::string_view marks{"!#$%&'*+-.^_`|~"};
    auto const is_token_character = [&](char c)
    {
        return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9') ||
               marks.find(c) != marks.npos;
    };
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), is_token_character) &&
           !has_control(value);
}

std::string const* http_fields::find(std::string_view name) const
{
    for (auto const& field : fields_)
        if (equal_names(field.name, name))
            return &field.value;
    return nullptr;
}

int http_fields::count(std::string_view name) const
{
    return static_cast<int>(std::count_if(
        fields_.begin(), fields_.end(),
        [&](auto const& field) { return equal_names(field.name, name); }));
}

void http_fields::add(std::string name, std::string value)
{
    fields_.push_back({.name = std::move(name), .value = std::move(value)});
}

void http_fields::remove(std::string_view name)
{
    std::erase_if(fields_, [&](auto const& field)
                  { return equal_names(field.name, name); });
}

void http_fields::set(std::string_view name, std::string value)
{
    for (auto& field : fields_)
        if (equal_names(field.name, name))
        {
            field.value = std::move(value);
            if (count(name) == 1)
                return;
            auto kept = std::move(field);
            remove(name);
            fields_.push_back(std::move(kept));
            return;
        }
    add(std::string(name), std::move(value));
}

void http_fields::remove_hop_by_hop()
{
    std::vector<std::string> connection_options;
    for (auto const& field : fields_)
    {
        if (!equal_names(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty())
        {
            auto const comma = rest.find(',');
            auto const token = trim(rest.substr(0, comma));
            if (!token.empty() && !equal_names(token, "close") &&
                !equal_names(token, "keep-alive"))
                connection_options.emplace_back(token);
            rest = comma == std::string_view::npos ? std::string_view{}
                                                   : rest.substr(comma + 1);
        }
    }
    std::erase_if(fields_,
                  [&](auto const& field)
                  {
                      auto const same = [&](auto const& name)
                      { return equal_names(field.name, name); };
                      return std::any_of(hop_by_hop_names.begin(),
                                         hop_by_hop_names.end(), same) ||
                             std::any_of(connection_options.begin(),
                                         connection_options.end(), same);
                  });
}

bool allows_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string write_request(http_request const& request)
{
    std::string out;
    out.reserve(512 + request.body.size());
    out += request.method;
    out += ' ';
    out += request.target;
    out += " HTTP/1.1\r\n";
    append_fields(out, request.fields);
    bool const may_omit_length = request.method == "GET" ||
                                 request.method == "HEAD" ||
                                 request.method == "DELETE";
    if (!request.body.empty() || !may_omit_length)
        out +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    out += "\r\n";
    out += request.body;
    return out;
}

std::string write_response(http_response const& response,
                           std::string_view method, std::string_view extra)
{
    std::string out;
    out.reserve(512 + response.body.size());
    out += "HTTP/1.1 " + std::to_string(response.status) + " ";
    out += response.reason.empty() ? reason_phrase(response.status)
                                   : std::string_view(response.reason);
    out += "\r\n";
    append_fields(out, response.fields);
    out += extra;
    if (allows_body(response.status))
        out +=
            "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    out += "\r\n";
    if (method != "HEAD" && allows_body(response.status))
        out += response.body;
    return out;
}

} // namespace pollenhall::mesh
