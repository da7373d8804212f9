// Counts probes without an answer.

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
    auto const longest_ago =
        std::min_element(records_.begin(), records_.end(),
                         [](auto const& left, auto const& right)
                         { return left.second.probed < right.second.probed; });
    if (longest_ago == records_.end())
        return std::nullopt;
    longest_ago->second.probed = now;
    return longest_ago->first;
}

bool vanished_hosts::on_probe(host_address const& host, bool answered,
                              mono_time now)
{
    auto const found = records_.find(host);
    if (found == records_.end())
        return false;
    auto& known = found->second;
    if (answered)
    {
        known.failures = 0;
        return false;
    }
    if (known.failures++ == 0)
        known.silent_since = now;
    return known.failures >= options_.least_failures &&
           now - known.silent_since >= options_.gone_after;
}

} // namespace pollenhall::mesh
