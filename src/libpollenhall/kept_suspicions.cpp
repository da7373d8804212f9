// Selection of crash suspicions for the store, and their text.

#include <pollenhall/kept_suspicions.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace pollenhall
{
namespace
{

// Requests; a crash adds up to 64.
constexpr std::size_t max_known_contents = 4'096;

// Reads a number and the separator behind it from the start of `text`. Returns
// an empty value if they are not there.
template <class Number>
std::optional<Number> read_number(std::string_view& text, char separator)
{
    Number value{};
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop == end || *stop != separator)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()) + 1);
    return value;
}

std::optional<published_suspicion> read_line(std::string_view& text)
{
    auto const content = read_number<std::uint64_t>(text, ' ');
    auto const crash = read_number<std::uint64_t>(text, ' ');
    auto const confirmed = read_number<int>(text, ' ');
    auto const expires = read_number<std::int64_t>(text, '\n');
    if (!content || !crash || !confirmed || !expires || *confirmed < 0 ||
        *confirmed > 1 || *expires < 0)
        return std::nullopt;
    return published_suspicion{.content = fingerprint(*content),
                               .crash = crash_id(*crash),
                               .confirmed = *confirmed == 1,
                               .expires = wall_time(milliseconds(*expires))};
}

} // namespace

void kept_suspicions::report(crash_suspicion const& suspicion, wall_time now)
{
    add({.content = suspicion.content,
         .crash = suspicion.crash,
         .confirmed = suspicion.confirmed,
         .expires = now + suspicion.time_left},
        true, now);
}

void kept_suspicions::hear(crash_suspicion const& suspicion, wall_time now)
{
    add({.content = suspicion.content,
         .crash = suspicion.crash,
         .confirmed = suspicion.confirmed,
         .expires = now + suspicion.time_left},
        false, now);
}

std::vector<crash_suspicion>
kept_suspicions::load(std::vector<published_suspicion> const& stored,
                      bool is_own, wall_time now)
{
    std::vector<crash_suspicion> live;
    for (auto const& item : stored)
    {
        if (item.expires <= now)
            continue;
        add(item, is_own, now);
        live.push_back(
            {.content = item.content,
             .crash = item.crash,
             .time_left = std::min(item.expires - now, max_suspicion_lifetime),
             .confirmed = item.confirmed});
    }
    return live;
}

std::vector<published_suspicion> kept_suspicions::kept(wall_time now) const
{
    std::vector<published_suspicion> repeated;
    std::vector<published_suspicion> single;
    for (auto const& [content, crashes] : known_)
    {
        auto const is_live = [&](auto const& item)
        { return item.second.expires > now; };
        bool const ran_at_several =
            std::count_if(crashes.begin(), crashes.end(), is_live) > 1;
        bool const has_own =
            std::any_of(crashes.begin(), crashes.end(),
                        [&](auto const& item)
                        { return is_live(item) && item.second.is_own; });
        for (auto const& item : crashes)
        {
            published_suspicion const suspicion{.content = content,
                                                .crash = item.first,
                                                .confirmed =
                                                    item.second.confirmed,
                                                .expires = item.second.expires};
            if (!is_live(item))
                continue;
            if (ran_at_several && has_own)
                repeated.push_back(suspicion);
            else if (item.second.is_own && item.second.confirmed)
                single.push_back(suspicion);
        }
    }
    auto const expires_later = [](auto const& left, auto const& right)
    { return left.expires > right.expires; };
    std::stable_sort(repeated.begin(), repeated.end(), expires_later);
    std::stable_sort(single.begin(), single.end(), expires_later);
    repeated.insert(repeated.end(), single.begin(), single.end());
    repeated.resize(std::min(repeated.size(), max_kept_suspicions));
    return repeated;
}

void kept_suspicions::add(published_suspicion const& suspicion, bool is_own,
                          wall_time now)
{
    if (suspicion.expires <= now)
        return;
    if (known_.size() >= max_known_contents)
        std::erase_if(known_,
                      [&](auto const& item)
                      {
                          return std::all_of(
                              item.second.begin(), item.second.end(),
                              [&](auto const& crash)
                              { return crash.second.expires <= now; });
                      });
    if (known_.size() >= max_known_contents &&
        !known_.contains(suspicion.content))
        return;
    auto& item = known_[suspicion.content][suspicion.crash];
    item.confirmed = item.confirmed || suspicion.confirmed;
    item.is_own = item.is_own || is_own;
    item.expires =
        std::max(item.expires,
                 std::min(suspicion.expires, now + max_suspicion_lifetime));
}

std::string
format_suspicions(std::vector<published_suspicion> const& suspicions)
{
    std::string text;
    for (auto const& item : suspicions)
        text += std::to_string(item.content.value()) + " " +
                std::to_string(item.crash.value()) +
                (item.confirmed ? " 1 " : " 0 ") +
                std::to_string(item.expires.time_since_epoch().count()) + "\n";
    return text;
}

absl::StatusOr<std::vector<published_suspicion>>
parse_suspicions(std::string_view text)
{
    std::vector<published_suspicion> result;
    while (!text.empty())
    {
        auto const item = read_line(text);
        if (!item || result.size() >= max_kept_suspicions)
            return absl::InvalidArgumentError(
                "line " + std::to_string(result.size() + 1) +
                " is not a crash suspicion, or one too many");
        result.push_back(*item);
    }
    return result;
}

} // namespace pollenhall
