// Reads typed values from INI entries: numbers, durations with a unit, names,
// choices and lists. Every invalid value becomes a finding with its line.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/ini_document.hpp>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Inclusive range of a number.
struct number_range
{
    std::int64_t low = 0;
    std::int64_t high = 0;
};

/// Inclusive range of a duration.
struct duration_range
{
    microseconds low{0};
    microseconds high{0};
};

/// Reads the entries of one section by name, and reports the entries that were
/// never requested as unknown. If a value is invalid, a finding is added and
/// the default is returned.
class value_reader
{
public:
    /// `section` and `findings` must outlive the reader.
    value_reader(std::string_view path, ini_section const& section,
                 finding_list& findings);

    /// Returns whether the section has an entry of that name.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Returns the line of the entry, or of the section heading if there is no
    /// such entry.
    [[nodiscard]] int line_of(std::string_view name) const;

    /// Reads an integer; returns `fallback` if the entry is absent or invalid.
    std::int64_t number(std::string_view name, number_range range,
                        std::int64_t fallback);
    /// Reads a duration such as `500us`, `250ms`, `3s`, `2min` or `1h`.
    microseconds duration(std::string_view name, duration_range range,
                          microseconds fallback);
    /// Reads a percentage such as `99.9%`, returned as 0.999.
    double percentage(std::string_view name, double fallback);
    /// Reads `yes` or `no`.
    bool boolean(std::string_view name, bool fallback);
    /// Reads free text of 1 to 128 bytes.
    std::string text(std::string_view name, std::string_view fallback);
    /// Reads a name of 1 to 63 lower-case letters, digits and hyphens. Adds a
    /// finding and returns an empty text if it is absent or invalid.
    std::string required_name(std::string_view name);
    /// Reads the hash of an operator's key. Adds a finding and returns an empty
    /// text if it is absent or invalid.
    std::string key_hash(std::string_view name);
    /// Returns the index of the value in `choices`.
    std::size_t choice(std::string_view name,
                       std::span<std::string_view const> choices,
                       std::size_t fallback);
    /// Reads comma-separated items, with blanks removed; empty if absent.
    std::vector<std::string> list(std::string_view name);

    /// Adds a finding at the line of the entry.
    void report(std::string_view name, std::string message);
    /// Adds a finding for each entry that was not requested; call it last.
    void report_unknown();

private:
    ini_entry const* find(std::string_view name);

    std::string path_;
    ini_section const* section_;
    finding_list* findings_;
    // Names of the entries requested so far; every other entry is unknown.
    std::set<std::string, std::less<>> requested_names_;
};

/// Returns whether `name` has 1 to 63 lower-case letters, digits and hyphens
/// and starts with a letter or digit.
bool is_valid_name(std::string_view name);

/// Formats a duration in s, ms or us, the largest unit that represents it as a
/// whole number, so that `value_reader::duration` can read it.
std::string to_string(microseconds value);

} // namespace pollenhall
