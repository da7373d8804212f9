// INI text parsed into sections and entries with their line numbers. Used for
// the daemon's settings, the members' declarations and the state charts.

#pragma once

#include <pollenhall/findings.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// One `name = value` line.
struct ini_entry
{
    std::string name;
    std::string value;
    int line = 0;
};

/// One section, from its heading to the next.
struct ini_section
{
    std::string name;
    /// Line of the heading; 0 for the section of entries that precede the first
    /// heading.
    int line = 0;
    std::vector<ini_entry> entries;
};

/// Maximum length of a line, in bytes.
inline constexpr std::size_t max_ini_line_bytes = 190;
/// Maximum size of a text, in bytes; the store accepts no larger value.
inline constexpr std::size_t max_ini_text_bytes = 1'048'576;

/// A parsed INI text.
class ini_document
{
public:
    /// Parses `text`. Lines that cannot be parsed are reported to `findings`
    /// under `path` and skipped; parsing continues, so that one call reports
    /// all errors. Errors are: an empty or too large text, text that is not
    /// UTF-8, a line above `max_ini_line_bytes`, a NUL byte, a line that is
    /// neither heading, entry nor comment, a duplicate section or entry.
    static ini_document parse(std::string_view path, std::string_view text,
                              finding_list& findings);

    [[nodiscard]] std::string const& path() const { return path_; }
    [[nodiscard]] std::vector<ini_section> const& sections() const
    {
        return sections_;
    }

private:
    std::string path_;
    std::vector<ini_section> sections_;
};

/// Returns whether `text` is well-formed UTF-8 without NUL bytes.
bool is_valid_utf8(std::string_view text);

} // namespace pollenhall
