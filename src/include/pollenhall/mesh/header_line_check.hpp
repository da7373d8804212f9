// Checks the lines of a header, which http_parser reads too leniently: a CR or
// LF by itself ends its header, so that the rest becomes body, and a line that
// begins with a blank is joined to the one before.

#pragma once

#include <string_view>

namespace pollenhall::mesh
{

/// Checks the lines of one header while it is read, up to the empty line that
/// ends it. Not thread-safe.
class header_line_check
{
public:
    /// Checks the next bytes; those after the header are ignored. Returns false
    /// if a line does not end with CR LF, or a line after the first one begins
    /// with a blank.
    bool read(std::string_view data);

private:
    // Empty lines before the first line are skipped.
    bool has_lines_ = false;
    bool line_is_empty_ = true;
    bool ended_ = false;
    char previous_ = 0;
};

} // namespace pollenhall::mesh
