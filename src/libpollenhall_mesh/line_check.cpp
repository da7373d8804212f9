// Implements the check of the lines of a message.

#include <pollenhall/mesh/line_check.hpp>

namespace pollenhall::mesh
{

std::optional<std::size_t> line_check::read(std::string_view data)
{
    std::size_t size = 0;
    while (size < data.size() && !ended_)
    {
        auto const rest = data.substr(size);
        if (after_cr_)
        {
            if (rest.front() != '\n')
                return std::nullopt;
            ended_ = ends_section();
            line_is_empty_ = true;
            after_cr_ = false;
            ++size;
            continue;
        }
        auto const text = rest.substr(0, rest.find('\r'));
        if (!read_text(text))
            return std::nullopt;
        after_cr_ = text.size() < rest.size();
        size += text.size() + (after_cr_ ? 1 : 0);
    }
    return size;
}

bool line_check::read_text(std::string_view text)
{
    if (text.empty())
        return true;
    if (line_is_empty_ && has_lines_ &&
        (text.front() == ' ' || text.front() == '\t'))
        return false;
    line_is_empty_ = false;
    has_lines_ = true;
    return text.find('\n') == std::string_view::npos;
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
