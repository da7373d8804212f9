// Errors found in settings, declarations and charts. They are collected with
// their location, so that one run reports all of them.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenhall
{

/// An error and its location.
struct finding
{
    /// Path as the user gave it.
    std::string path;
    /// Line number from 1; 0 if the error concerns the whole file.
    int line = 0;
    /// Describes the error and the allowed values.
    std::string message;

    bool operator==(finding const&) const = default;
};

/// Returns `path:line: message`, the format that editors recognise.
std::string to_string(finding const& item);

/// Findings in the order in which they were added.
class finding_list
{
public:
    /// Adds a finding at `line` of `path`; `line` 0 means the whole file.
    void add(std::string_view path, int line, std::string message);

    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] std::vector<finding> const& items() const { return items_; }

    /// Sorts by path and line, for a stable report.
    void sort();

private:
    std::vector<finding> items_;
};

} // namespace pollenhall
