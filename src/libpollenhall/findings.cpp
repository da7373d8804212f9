// Collection, formatting and sorting of findings.

#include <pollenhall/findings.hpp>

#include <algorithm>
#include <tuple>

namespace pollenhall
{

std::string to_string(finding const& item)
{
    return item.path + ":" + std::to_string(item.line) + ": " + item.message;
}

void finding_list::add(std::string_view path, int line, std::string message)
{
    items_.push_back({.path = std::string(path),
                      .line = line,
                      .message = std::move(message)});
}

void finding_list::sort()
{
    std::stable_sort(items_.begin(), items_.end(),
                     [](finding const& left, finding const& right) {
                         return std::tie(left.path, left.line) <
                                std::tie(right.path, right.line);
                     });
}

} // namespace pollenhall
