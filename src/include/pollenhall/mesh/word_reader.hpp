// Reads words separated by spaces: the form of what nodes tell each other in
// one header field. Two of these are read for each call, so no streams.

#pragma once

#include <charconv>
#include <string>
#include <string_view>

namespace pollenhall::mesh
{

/// Takes words from the front of a text; `ok` tells whether all were there and
/// readable.
class word_reader
{
public:
    explicit word_reader(std::string_view text) : rest_(text) {}

    std::string_view word()
    {
        auto const start = rest_.find_first_not_of(' ');
        rest_.remove_prefix(start == std::string_view::npos ? rest_.size()
                                                            : start);
        auto const word = rest_.substr(0, rest_.find(' '));
        rest_.remove_prefix(word.size());
        ok_ = ok_ && !word.empty();
        return word;
    }

    /// A whole number or a fraction.
    template <class Number>
    Number number()
    {
        auto const text = word();
        Number value{};
        auto const [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        ok_ = ok_ && error == std::errc{} && end == text.data() + text.size();
        return value;
    }

    [[nodiscard]] bool ok() const { return ok_; }
    [[nodiscard]] std::string_view rest() const { return rest_; }

private:
    std::string_view rest_;
    bool ok_ = true;
};

} // namespace pollenhall::mesh
