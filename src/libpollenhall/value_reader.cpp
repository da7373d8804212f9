// Parses typed values of INI entries.

#include <pollenhall/value_reader.hpp>

#include <pollenhall/operator_rights.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace pollenhall
{
namespace
{

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_text_bytes = 128;

struct duration_unit
{
    std::string_view suffix;
    microseconds length;
};

// `s` must follow `us` and `ms`, which also end with it.
constexpr std::array duration_units{
    duration_unit{"min", std::chrono::minutes{1}},
    duration_unit{"us", microseconds{1}},
    duration_unit{"ms", milliseconds{1}},
    duration_unit{"s", seconds{1}},
    duration_unit{"h", std::chrono::hours{1}},
};

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return value;
}

std::optional<microseconds> parse_duration(std::string_view text)
{
    // Above every range in use; the product with the longest unit, 1 h in us,
    // does not overflow 64 bits.
    constexpr std::int64_t max_count = 1'000'000'000;
    for (auto const& unit : duration_units)
    {
        if (!text.ends_with(unit.suffix))
            continue;
        text.remove_suffix(unit.suffix.size());
        auto const count = parse_number(text);
        if (!count || *count > max_count || *count < -max_count)
            return std::nullopt;
        return unit.length * *count;
    }
    return std::nullopt;
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

} // namespace

bool is_valid_name(std::string_view name)
{
    if (name.empty() || name.size() > max_name_bytes || name.front() == '-')
        return false;
    return std::all_of(name.begin(), name.end(),
                       [](char c) {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= '0' && c <= '9') || c == '-';
                       });
}

std::string to_string(microseconds value)
{
    constexpr microseconds none{0};
    if (value != none && value % seconds{1} == none)
        return std::to_string(value / seconds{1}) + "s";
    if (value % milliseconds{1} == none)
        return std::to_string(value / milliseconds{1}) + "ms";
    return std::to_string(value.count()) + "us";
}

value_reader::value_reader(std::string_view path, ini_section const& section,
                           finding_list& findings)
    : path_(path), section_(&section), findings_(&findings)
{
}

ini_entry const* value_reader::find(std::string_view name)
{
    requested_names_.emplace(name);
    for (auto const& entry : section_->entries)
    {
        if (entry.name == name)
            return &entry;
    }
    return nullptr;
}

bool value_reader::has(std::string_view name) const
{
    return std::any_of(section_->entries.begin(), section_->entries.end(),
                       [&](ini_entry const& entry)
                       { return entry.name == name; });
}

int value_reader::line_of(std::string_view name) const
{
    for (auto const& entry : section_->entries)
    {
        if (entry.name == name)
            return entry.line;
    }
    return section_->line;
}

void value_reader::report(std::string_view name, std::string message)
{
    findings_->add(path_, line_of(name), std::move(message));
}

std::int64_t value_reader::number(std::string_view name, number_range range,
                                  std::int64_t fallback)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
        return fallback;
    auto const value = parse_number(entry->value);
    if (value && *value >= range.low && *value <= range.high)
        return *value;
    report(name, std::string(name) + " is " + quoted(entry->value) +
                     "; expected a whole number from " +
                     std::to_string(range.low) + " to " +
                     std::to_string(range.high));
    return fallback;
}

microseconds value_reader::duration(std::string_view name, duration_range range,
                                    microseconds fallback)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
        return fallback;
    auto const value = parse_duration(entry->value);
    if (value && *value >= range.low && *value <= range.high)
        return *value;
    report(name, std::string(name) + " is " + quoted(entry->value) +
                     "; expected a duration from " + to_string(range.low) +
                     " to " + to_string(range.high) +
                     " with unit us, ms, s, min or h, for example 250ms");
    return fallback;
}

double value_reader::percentage(std::string_view name, double fallback)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
        return fallback;
    std::string_view text = entry->value;
    double value = 0;
    if (text.ends_with('%'))
    {
        text.remove_suffix(1);
        auto const* const end = text.data() + text.size();
        auto const result = std::from_chars(text.data(), end, value);
        if (result.ec == std::errc{} && result.ptr == end && value >= 0 &&
            value <= 100)
            return value / 100;
    }
    report(name, std::string(name) + " is " + quoted(entry->value) +
                     "; expected a percentage from 0% to 100%, for example "
                     "99.9%");
    return fallback;
}

bool value_reader::boolean(std::string_view name, bool fallback)
{
    constexpr std::array<std::string_view, 2> words{"no", "yes"};
    return choice(name, words, fallback ? 1 : 0) == 1;
}

std::string value_reader::text(std::string_view name, std::string_view fallback)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
        return std::string(fallback);
    if (!entry->value.empty() && entry->value.size() <= max_text_bytes)
        return entry->value;
    report(name, std::string(name) + " has " +
                     std::to_string(entry->value.size()) +
                     " bytes; expected 1 to " + std::to_string(max_text_bytes));
    return std::string(fallback);
}

std::string value_reader::key_hash(std::string_view name)
{
    auto const* const entry = find(name);
    if (entry != nullptr && is_key_hash(entry->value))
        return entry->value;
    report(name, std::string(name) + " is " +
                     (entry == nullptr ? "missing" : quoted(entry->value)) +
                     "; expected 64 hexadecimal digits as printed by "
                     "pollenctl new-key");
    return {};
}

std::string value_reader::required_name(std::string_view name)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
    {
        findings_->add(path_, section_->line,
                       "section [" + section_->name + "] has no key " +
                           quoted(name));
        return {};
    }
    if (is_valid_name(entry->value))
        return entry->value;
    report(name, std::string(name) + " is " + quoted(entry->value) +
                     "; expected a name of 1 to 63 lower-case letters, "
                     "digits and hyphens");
    return {};
}

std::size_t value_reader::choice(std::string_view name,
                                 std::span<std::string_view const> choices,
                                 std::size_t fallback)
{
    auto const* const entry = find(name);
    if (entry == nullptr)
        return fallback;
    auto const found = std::find(choices.begin(), choices.end(), entry->value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    std::string allowed;
    for (auto const choice : choices)
        allowed += (allowed.empty() ? "" : ", ") + std::string(choice);
    report(name, std::string(name) + " is " + quoted(entry->value) +
                     "; expected one of: " + allowed);
    return fallback;
}

std::vector<std::string> value_reader::list(std::string_view name)
{
    auto const* const entry = find(name);
    std::vector<std::string> items;
    if (entry == nullptr)
        return items;
    std::string item;
    for (char const c : entry->value + ",")
    {
        if (c == ' ' || c == '\t')
            continue;
        if (c != ',')
        {
            item += c;
            continue;
        }
        if (item.empty())
            report(name, std::string(name) + " has an empty item");
        else
            items.push_back(item);
        item.clear();
    }
    return items;
}

void value_reader::report_unknown()
{
    std::string allowed;
    for (auto const& name : requested_names_)
        allowed += (allowed.empty() ? "" : ", ") + name;
    for (auto const& entry : section_->entries)
    {
        if (requested_names_.contains(entry.name))
            continue;
        findings_->add(path_, entry.line,
                       "unknown key " + quoted(entry.name) + " in section [" +
                           section_->name + "]; expected one of: " + allowed);
    }
}

} // namespace pollenhall
