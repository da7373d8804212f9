// Reads words separated by spaces, the format of the values in header fields
// that nodes exchange. Two such fields are parsed for each call, so this avoids
// the cost of streams.

#pragma once

#include <charconv>
#include <string>
#include <string_view>

namespace pollenhall::mesh
{

/// Takes words from the front of a text. `ok` tells whether all requested words
/// were present and valid.
class word_reader
{
public:
    explicit word_reader(std::string_view text) : rest_(text) {}

    /// Returns the next word; empty if there is none.
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

    /// Returns the next word as an integer or floating-point number. The result
    /// is unspecified if the word is not valid.
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
