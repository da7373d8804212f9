// Implements the check of the lines of a message.

#include <pollenhall/mesh/line_check.hpp>

namespace pollenhall::mesh
{

std::optional<std::size_t> line_check::read(std::string_view data)
{
    std::size_t size = 0;
    while (size < data.size() && !ended_)
    {
        char const c = data[size++];
        if ((previous_ == '\r') != (c == '\n'))
            return std::nullopt;
        if (c == '\n')
        {
            ended_ = ends_section();
            line_is_empty_ = true;
        }
        else if (c != '\r')
        {
            if (line_is_empty_ && has_lines_ && (c == ' ' || c == '\t'))
                return std::nullopt;
            line_is_empty_ = false;
            has_lines_ = true;
        }
        previous_ = c;
    }
    return size;
}

bool line_check::ends_section() const
{
    switch (section_)
    {
    case line_section::header:
        return line_is_empty_ && has_lines_;
    case line_section::chunk_size:
        return true;
    case line_section::trailer:
        break;
    }
    return line_is_empty_;
}

} // namespace pollenhall::mesh
