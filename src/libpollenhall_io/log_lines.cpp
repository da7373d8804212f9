// Implements the bounded buffer of log lines.

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/log_lines.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <mutex>
#include <string>

namespace pollenhall
{
namespace
{

// Holds several thousand lines: the output of a log storm between two flushes.
constexpr std::size_t max_buffered_bytes = std::size_t{512} * 1'024;

struct line_buffer
{
    std::mutex mutex;
    std::string waiting;
    std::size_t dropped = 0;
    std::size_t reported = 0;
};

line_buffer& buffer()
{
    static line_buffer instance;
    return instance;
}

void add_line(std::string const& line)
{
    auto& lines = buffer();
    std::lock_guard const lock(lines.mutex);
    if (lines.waiting.size() + line.size() + 1 > max_buffered_bytes)
    {
        ++lines.dropped;
        return;
    }
    lines.waiting += line;
    lines.waiting += '\n';
}

} // namespace

void start_stdout_logging()
{
    int const flags = fcntl(STDOUT_FILENO, F_GETFL);
    // If the mode cannot be set, writes may block, but no line is lost.
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    set_log_writer([](log_level, std::string const& line) { add_line(line); });
}

void flush_log_lines()
{
    auto& lines = buffer();
    static std::string out;
    if (out.empty())
    {
        std::size_t newly_dropped = 0;
        {
            std::lock_guard const lock(lines.mutex);
            out.swap(lines.waiting);
            newly_dropped = lines.dropped - lines.reported;
            lines.reported = lines.dropped;
        }
        if (newly_dropped > 0)
            out += "level=warning event=log_lines_dropped count=" +
                   std::to_string(newly_dropped) + "\n";
    }
    while (!out.empty())
    {
        auto const written = write(STDOUT_FILENO, out.data(), out.size());
        if (written > 0)
            out.erase(0, static_cast<std::size_t>(written));
        else if (written < 0 && errno == EINTR)
            continue;
        else if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        else
        {
            // Standard output is closed or broken: discards the lines, because
            // no reader is left.
            out.clear();
            return;
        }
    }
}

std::size_t dropped_log_lines()
{
    auto& lines = buffer();
    std::lock_guard const lock(lines.mutex);
    return lines.dropped;
}

} // namespace pollenhall
