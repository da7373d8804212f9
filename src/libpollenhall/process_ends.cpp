// Detection of terminated processes.

#include <pollenhall/process_ends.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{
constexpr std::size_t max_refused_processes = 4'096;
} // namespace

void process_ends::on_connection_refused(roster_member const& process,
                                         wall_time now)
{
    if (refused_.size() >= max_refused_processes)
        refused_.erase(refused_.begin());
    refused_.try_emplace(process, now);
}

std::optional<wall_time>
process_ends::termination_time(roster_member const& process,
                               peer_info const* peer) const
{
    if (process.node == self_.node)
        return process.boot < self_.boot ? std::optional(started_)
                                         : std::nullopt;
    if (peer == nullptr)
        return std::nullopt;
    auto const refusal = refused_.find(process);
    bool const is_refused = refusal != refused_.end();
    if (peer->boot > process.boot)
    {
        auto const successor_start =
            wall_time(milliseconds(peer->boot.value()));
        return is_refused ? std::min(refusal->second, successor_start)
                          : successor_start;
    }
    bool const declared_dead =
        peer->boot == process.boot && peer->life == peer_liveness::dead;
    return declared_dead && is_refused ? std::optional(refusal->second)
                                       : std::nullopt;
}

} // namespace pollenhall
