// The crash suspicions that a node keeps in the store, so that they are still
// known after all nodes have ended at the same time. Otherwise gossip is
// enough.

#pragma once

#include <pollenhall/crash_guard.hpp>

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Limit on the suspicions in the value of one node.
inline constexpr std::size_t max_kept_suspicions = 64;

/// Chooses the suspicions that one node keeps in the store. Each call to the
/// store is counted, and a node that ends leaves possible crashes at all nodes
/// that had sent it requests. Not thread-safe.
class kept_suspicions
{
public:
    /// Adds a suspicion that this node reports.
    void report(crash_suspicion const& suspicion, wall_time now);
    /// Adds a suspicion that a peer has reported.
    void hear(crash_suspicion const& suspicion, wall_time now);
    /// Adds the suspicions that a node has stored; `is_own` for those of an
    /// earlier process of this node. Returns the ones that have not expired.
    std::vector<crash_suspicion>
    load(std::vector<published_suspicion> const& stored, bool is_own,
         wall_time now);
    /// Returns the suspicions to store: the ones that this node has reported
    /// and whose crash was observed, and all of a request that ran at several
    /// crashes if this node has reported one of them. If there are too many,
    /// the latter are kept first, then those that expire last.
    [[nodiscard]] std::vector<published_suspicion> kept(wall_time now) const;

private:
    struct record
    {
        bool confirmed = false;
        bool is_own = false;
        wall_time expires{};
    };
    using crashes = std::map<crash_id, record>;

    void add(published_suspicion const& suspicion, bool is_own, wall_time now);

    std::map<fingerprint, crashes> known_;
};

/// Returns the text of suspicions for the store: one line each.
std::string
format_suspicions(std::vector<published_suspicion> const& suspicions);
/// Parses that text. Returns InvalidArgument with the number of the first line
/// that is not valid.
absl::StatusOr<std::vector<published_suspicion>>
parse_suspicions(std::string_view text);

} // namespace pollenhall
