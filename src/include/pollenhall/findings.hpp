// Faults found in settings, declarations and charts. They are collected with
// their place and reported together, never one at a time.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenhall
{

/// One fault and its place.
struct finding
{
    /// Path as the user named it.
    std::string path;
    /// 1 for the first line; 0 if the fault concerns the whole file.
    int line = 0;
    /// What is wrong and which values are allowed.
    std::string message;

    bool operator==(finding const&) const = default;
};

/// Returns `path:line: message`, the form that editors jump to.
std::string to_string(finding const& item);

/// Collects findings in the order in which they were added.
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
