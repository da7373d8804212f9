// Counts consecutive failed probes.

#include <pollenhall/mesh/vanished_hosts.hpp>

#include <algorithm>

namespace pollenhall::mesh
{

vanished_hosts::vanished_hosts(vanished_host_options options)
    : options_(options)
{
}

std::optional<host_address>
vanished_hosts::next(std::vector<host_address> const& hosts, mono_time now)
{
    std::erase_if(records_,
                  [&](auto const& item) {
                      return std::find(hosts.begin(), hosts.end(),
                                       item.first) == hosts.end();
                  });
    for (auto const& host : hosts)
        records_.try_emplace(host);
    auto const oldest = std::min_element(
        records_.begin(), records_.end(),
        [](auto const& left, auto const& right)
        { return left.second.last_probe < right.second.last_probe; });
    if (oldest == records_.end())
        return std::nullopt;
    oldest->second.last_probe = now;
    return oldest->first;
}

bool vanished_hosts::on_probe(host_address const& host, bool responded,
                              mono_time now)
{
    auto const found = records_.find(host);
    if (found == records_.end())
        return false;
    auto& host_record = found->second;
    if (responded)
    {
        host_record.consecutive_failures = 0;
        return false;
    }
    if (host_record.consecutive_failures++ == 0)
        host_record.failing_since = now;
    return host_record.consecutive_failures >= options_.min_failures &&
           now - host_record.failing_since >= options_.removal_timeout;
}

} // namespace pollenhall::mesh
