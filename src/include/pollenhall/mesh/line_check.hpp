// Checks the lines of a message, which http_parser reads too leniently: a CR or
// LF by itself ends a header, so that the rest of it becomes body; a line that
// begins with a blank is joined to the one before; and any two bytes end a
// chunk.

#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace pollenhall::mesh
{

/// A part of a message that consists of lines.
enum class line_section
{
    /// Ends with an empty line; empty lines before it are skipped.
    header,
    /// The line before each chunk.
    chunk_size,
    /// The fields after the last chunk, which are rare. Ends with an empty
    /// line.
    trailer
};

/// Checks the lines of one section while it is read. Not thread-safe.
class line_check
{
public:
    explicit line_check(line_section section) : section_(section) {}

    /// Checks the next bytes. Returns how many of them belong to the section,
    /// or nothing if a line does not end with CR LF, or begins with a blank
    /// though it follows another one.
    std::optional<std::size_t> read(std::string_view data);
    /// Whether the whole section was read.
    [[nodiscard]] bool ended() const { return ended_; }

private:
    // Reads bytes of one line. Returns false if it begins with a blank though
    // it follows another one, or has a line feed.
    bool read_text(std::string_view text);
    // Whether the line feed that was just read ends the section.
    [[nodiscard]] bool ends_section() const;

    line_section section_;
    // Whether the section has a line that is not empty.
    bool has_lines_ = false;
    bool line_is_empty_ = true;
    bool ended_ = false;
    // Whether the last byte was a CR.
    bool after_cr_ = false;
};

} // namespace pollenhall::mesh
