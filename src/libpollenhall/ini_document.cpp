// Parses INI text with inih. The library passes no line numbers to its handler
// but reads its input one line at a time, so the line reader counts them.

#include <pollenhall/ini_document.hpp>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace pollenhall
{
namespace
{

// Returns the length in bytes of the UTF-8 sequence that starts with `lead`;
// 0 if `lead` is not a valid first byte.
std::size_t utf8_sequence_length(unsigned char lead)
{
    if (lead < 0x80)
        return lead == 0 ? 0 : 1;
    if (lead >= 0xC2 && lead <= 0xDF)
        return 2;
    if (lead >= 0xE0 && lead <= 0xEF)
        return 3;
    if (lead >= 0xF0 && lead <= 0xF4)
        return 4;
    return 0;
}

// Returns whether `second` is in the range that RFC 3629 allows after `lead`.
bool is_allowed_second_byte(unsigned char lead, unsigned char second)
{
    switch (lead)
    {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second <= 0x9F;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second <= 0x8F;
    default:
        return true;
    }
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    auto const last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

// State shared by the line reader and the entry handler, the callbacks of
// inih.
struct parse_state
{
    std::string_view remaining;
    int line = 0;
    std::string const* path = nullptr;
    finding_list* findings = nullptr;
    std::vector<ini_section> sections;
    std::set<std::string, std::less<>> section_names;
    std::set<std::string, std::less<>> entry_names;
};

std::string_view take_line(parse_state& state)
{
    auto const end = state.remaining.find('\n');
    auto const length =
        end == std::string_view::npos ? state.remaining.size() : end + 1;
    auto const line = state.remaining.substr(0, length);
    state.remaining.remove_prefix(length);
    ++state.line;
    return line;
}

void open_section(parse_state& state, std::string_view line)
{
    auto const end = line.find(']');
    if (end == std::string_view::npos)
        return;
    std::string const name(trim(line.substr(1, end - 1)));
    if (!state.section_names.insert(name).second)
    {
        state.findings->add(*state.path, state.line,
                            "section [" + name +
                                "] occurs twice; each section may occur once");
    }
    state.entry_names.clear();
    state.sections.push_back({.name = name, .line = state.line, .entries = {}});
}

// Reports a line that is too long or not valid UTF-8; returns whether the line
// is to be passed to inih.
bool check_line(parse_state& state, std::string_view line)
{
    if (line.size() > max_ini_line_bytes)
    {
        state.findings->add(*state.path, state.line,
                            "line has " + std::to_string(line.size()) +
                                " bytes; the maximum is " +
                                std::to_string(max_ini_line_bytes));
        return false;
    }
    if (!is_valid_utf8(line))
    {
        state.findings->add(*state.path, state.line,
                            "line is not valid UTF-8 or contains a NUL byte");
        return false;
    }
    return true;
}

char* read_line(char* buffer, int size, void* stream)
{
    auto& state = *static_cast<parse_state*>(stream);
    if (state.remaining.empty())
        return nullptr;
    auto const line = take_line(state);
    // An empty line replaces a skipped one, so that line numbers stay correct.
    std::string_view forwarded = check_line(state, line) ? line : "\n";
    forwarded = forwarded.substr(0, static_cast<std::size_t>(size) - 1);
    auto const start = trim(forwarded);
    if (!start.empty() && start.front() == '[')
        open_section(state, start);
    // inih would treat a line with leading blanks as the continuation of the
    // previous entry.
    auto const first = forwarded.find_first_not_of(" \t");
    forwarded.remove_prefix(first == std::string_view::npos ? 0 : first);
    std::memcpy(buffer, forwarded.data(), forwarded.size());
    buffer[forwarded.size()] = '\0';
    return buffer;
}

int handle_entry(void* user, char const* /*section*/, char const* name,
                 char const* value)
{
    auto& state = *static_cast<parse_state*>(user);
    if (state.sections.empty())
        state.sections.emplace_back();
    if (!state.entry_names.insert(name).second)
    {
        state.findings->add(*state.path, state.line,
                            std::string("key '") + name +
                                "' occurs twice in its section");
    }
    state.sections.back().entries.push_back(
        {.name = name, .value = value, .line = state.line});
    return 1;
}

// Reports all lines with invalid syntax; inih reports only the first one.
void report_invalid_lines(std::string_view path, std::string_view text,
                          finding_list& findings)
{
    int number = 0;
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size() - 1);
        auto const line = trim(text.substr(0, end + 1));
        text.remove_prefix(end + 1);
        ++number;
        if (line.empty() || line.front() == '#' || line.front() == ';')
            continue;
        if (line.front() == '[')
        {
            if (line.find(']') == std::string_view::npos)
                findings.add(path, number,
                             "section heading has no closing ']'");
            continue;
        }
        if (line.find_first_of("=:") == std::string_view::npos)
        {
            findings.add(path, number,
                         "line is no [section], 'key = value' or comment");
        }
    }
}

} // namespace

bool is_valid_utf8(std::string_view text)
{
    while (!text.empty())
    {
        auto const lead = static_cast<unsigned char>(text.front());
        auto const length = utf8_sequence_length(lead);
        if (length == 0 || length > text.size())
            return false;
        for (std::size_t i = 1; i < length; ++i)
        {
            auto const next = static_cast<unsigned char>(text[i]);
            if ((next & 0xC0U) != 0x80U)
                return false;
        }
        if (length > 1 &&
            !is_allowed_second_byte(lead, static_cast<unsigned char>(text[1])))
            return false;
        text.remove_prefix(length);
    }
    return true;
}

ini_document ini_document::parse(std::string_view path, std::string_view text,
                                 finding_list& findings)
{
    ini_document document;
    document.path_ = path;
    if (text.size() > max_ini_text_bytes)
    {
        findings.add(path, 0,
                     "file has " + std::to_string(text.size()) +
                         " bytes; the maximum is " +
                         std::to_string(max_ini_text_bytes));
        return document;
    }
    if (trim(text).empty())
    {
        findings.add(path, 0,
                     "file is empty; at least one section is required");
        return document;
    }
    report_invalid_lines(path, text, findings);
    parse_state state{.remaining = text,
                      .line = 0,
                      .path = &document.path_,
                      .findings = &findings,
                      .sections = {},
                      .section_names = {},
                      .entry_names = {}};
    // The return value is the first line with invalid syntax, which has been
    // reported above.
    static_cast<void>(
        ini_parse_stream(&read_line, &state, &handle_entry, &state));
    document.sections_ = std::move(state.sections);
    return document;
}

} // namespace pollenhall
