// Reads the typed values of INI entries: numbers, durations with their unit,
// names, choices and lists. Every fault becomes a finding with its line.

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

/// Reads the entries of one section by name and reports the ones that nobody
/// asked for.
class value_reader
{
public:
    /// The arguments must outlive the reader.
    value_reader(std::string_view path, ini_section const& section,
                 finding_list& findings);

    /// Whether the section has an entry of that name.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Line of the entry, or of the section if there is none.
    [[nodiscard]] int line_of(std::string_view name) const;

    /// A whole number; `fallback` if the entry is absent or faulty.
    std::int64_t number(std::string_view name, number_range range,
                        std::int64_t fallback);
    /// A duration such as `500us`, `250ms`, `3s` or `2min`.
    microseconds duration(std::string_view name, duration_range range,
                          microseconds fallback);
    /// A share such as `99.9%`, returned as 0.999.
    double percentage(std::string_view name, double fallback);
    /// `yes` or `no`.
    bool boolean(std::string_view name, bool fallback);
    /// Free text of 1 to 128 bytes.
    std::string text(std::string_view name, std::string_view fallback);
    /// A name of 1 to 63 lower-case letters, digits and hyphens; a finding
    /// is added if it is absent.
    std::string required_name(std::string_view name);
    /// The hash of an operator's key; a finding is added if it is absent.
    std::string key_hash(std::string_view name);
    /// Position of the value in `choices`.
    std::size_t choice(std::string_view name,
                       std::span<std::string_view const> choices,
                       std::size_t fallback);
    /// Comma-separated items, without blanks; empty if absent.
    std::vector<std::string> list(std::string_view name);

    /// Adds a finding at the entry's line.
    void report(std::string_view name, std::string message);
    /// Adds a finding for each entry that was not read; call it last.
    void report_unknown();

private:
    ini_entry const* find(std::string_view name);

    std::string path_;
    ini_section const* section_;
    finding_list* findings_;
    // Names that were asked for; every other entry is unknown.
    std::set<std::string, std::less<>> known_;
};

/// Whether `name` has 1 to 63 lower-case letters, digits and hyphens and
/// starts with a letter or digit.
bool is_valid_name(std::string_view name);

/// Returns a duration in its largest whole unit, as `duration` reads it.
std::string to_string(microseconds value);

} // namespace pollenhall
