// Implements the resource limits with getrlimit and setrlimit.

#include <pollenhall/io/process_limits.hpp>

#include <algorithm>
#include <string>

#include <sys/resource.h>

namespace pollenhall
{

absl::Status raise_open_file_limit(std::uint64_t needed)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return absl::InternalError("cannot read the limit on open files");
    if (limit.rlim_cur < needed)
    {
        limit.rlim_cur = std::min<rlim_t>(needed, limit.rlim_max);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (limit.rlim_cur >= needed)
        return absl::OkStatus();
    return absl::ResourceExhaustedError(
        "the settings need " + std::to_string(needed) +
        " open files, but the limit of the process is " +
        std::to_string(limit.rlim_cur) +
        "; raise the hard limit or lower max-connections");
}

} // namespace pollenhall
