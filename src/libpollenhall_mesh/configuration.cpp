// Implements route lookup and weighted round robin.

#include <pollenhall/mesh/configuration.hpp>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace pollenhall::mesh
{
namespace
{

// Host in lower case without the port.
std::string normalized_host(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    std::string lowered(host);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

bool same_parts(std::vector<weighted_service> const& left,
                std::vector<weighted_service> const& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](auto const& a, auto const& b) {
                          return a.service == b.service && a.weight == b.weight;
                      });
}

} // namespace

route_table::route_table(configuration config) : config_(std::move(config))
{
    for (auto const& item : config_.routes)
        by_host_[normalized_host(item.host)].push_back(&item);
    for (auto& [host, routes] : by_host_)
        std::stable_sort(routes.begin(), routes.end(),
                         [](route const* left, route const* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
}

route const* route_table::find(std::string_view host,
                               std::string_view path) const
{
    auto const found = by_host_.find(normalized_host(host));
    if (found == by_host_.end())
        return nullptr;
    path = path.substr(0, path.find_first_of("?#"));
    for (auto const* item : found->second)
        if (path.starts_with(item->prefix))
            return item;
    return nullptr;
}

service_declaration const*
route_table::find_service(service_name const& name) const
{
    auto const found =
        std::find_if(config_.services.begin(), config_.services.end(),
                     [&](auto const& service) { return service.name == name; });
    return found == config_.services.end() ? nullptr : &*found;
}

service_name const& weighted_round_robin::next(route const& item)
{
    if (item.parts.size() == 1)
        return item.parts.front().service;
    auto& state = states_[item.name];
    if (!same_parts(state.parts, item.parts))
        state = {.parts = item.parts,
                 .credits = std::vector<double>(item.parts.size(), 0.0)};
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.parts.size(); ++i)
    {
        total += state.parts[i].weight;
        state.credits[i] += state.parts[i].weight;
        if (state.credits[i] > state.credits[best])
            best = i;
    }
    state.credits[best] -= total;
    return item.parts[best].service;
}

} // namespace pollenhall::mesh
