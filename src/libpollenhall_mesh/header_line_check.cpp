// Implements the check of the lines of a header.

#include <pollenhall/mesh/header_line_check.hpp>

namespace pollenhall::mesh
{

bool header_line_check::read(std::string_view data)
{
    for (char const c : data)
    {
        if (ended_)
            return true;
        if ((previous_ == '\r') != (c == '\n'))
            return false;
        if (c == '\n')
        {
            ended_ = line_is_empty_ && has_lines_;
            line_is_empty_ = true;
        }
        else if (c != '\r')
        {
            if (line_is_empty_ && has_lines_ && (c == ' ' || c == '\t'))
                return false;
            line_is_empty_ = false;
            has_lines_ = true;
        }
        previous_ = c;
    }
    return true;
}

} // namespace pollenhall::mesh
