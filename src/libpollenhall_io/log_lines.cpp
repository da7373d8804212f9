// Bounded buffer of log lines in front of standard output.

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

// Some thousand lines: what a storm writes in the time between two flushes.
constexpr std::size_t max_buffered = std::size_t{512} * 1'024;

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
    if (lines.waiting.size() + line.size() + 1 > max_buffered)
    {
        ++lines.dropped;
        return;
    }
    lines.waiting += line;
    lines.waiting += '\n';
}

} // namespace

void start_line_logging()
{
    int const flags = fcntl(STDOUT_FILENO, F_GETFL);
    // If it can't be made non-blocking, writing may wait; lines still come.
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
            // Standard output is closed; nobody can read what is lost here.
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
