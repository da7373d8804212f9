// Long polling of store changes between nodes: a peer requests the changes
// after a revision, and the response is held until there are any or the
// requested wait ends.

#pragma once

#include "server_connection.hpp"
#include "shared_store.hpp"

#include <pollenhall/mesh/configuration.hpp>
#include <pollenhall/mesh/placement.hpp>

#include <map>

namespace pollenhall::sidecar
{

/// Response of a node to a peer's request for store changes.
struct change_report
{
    store_items changes;
    // Whether the responding node receives changes from the store, or from a
    // peer that does.
    bool current = false;
    // The configuration in force on the responding node, if it is newer than
    // the one in the store and than that of the requesting node.
    std::optional<std::string> newer_configuration{};
};

/// Request of a node for the changes that it has missed.
struct changes_request
{
    store_revision after;
    // Longest time for which the peer may hold the response while there are no
    // changes.
    milliseconds wait{0};
    // Version of the configuration in force on the requesting node.
    mesh::config_version version;
};

/// Writes a report as JSON.
std::string write_changes(change_report const& report);
/// Parses a report; returns `InvalidArgument` if it is malformed.
absl::StatusOr<change_report> parse_changes(std::string const& text);
/// Returns the request target of a request.
std::string changes_target(changes_request const& request);

/// Serves store changes to peers. Not thread-safe: used on the control thread
/// only.
class change_feed
{
public:
    change_feed(deadline_timers& timers, mesh::store_mirror const& mirror);

    /// Handlers for the listener that peers connect to. The feed must outlive
    /// the listener.
    [[nodiscard]] server_handlers handlers();
    /// Sets whether this node receives store changes. While it does not, all
    /// requests get an immediate response, so that peers can turn to another
    /// node.
    void set_current(bool current);
    /// Sets the configuration in force if it differs from the one in the store,
    /// as after the store has been restored from an older snapshot. An empty
    /// document means that the store has it.
    void set_unstored_configuration(mesh::config_version version,
                                    std::string document);
    /// Sets a handler that is called with the address of a peer that knows a
    /// later era of the store. The address may be empty.
    void set_later_era_handler(
        std::function<void(mesh::host_address const&)> handler);
    /// Responds to all pending requests. Must be called after the mirror has
    /// changed.
    void on_change();

private:
    struct pending_request
    {
        std::shared_ptr<server_exchange> exchange;
        changes_request request;
        deadline_timers::handle timeout{};
    };

    void serve(std::shared_ptr<server_exchange> const& from,
               mesh::http_request const& request);
    void respond(std::shared_ptr<server_exchange> const& to,
                 changes_request const& request) const;
    // Whether the unstored configuration is news for the requesting node.
    [[nodiscard]] bool
    has_newer_configuration(changes_request const& request) const;
    void on_timeout(std::uint64_t request_id);

    deadline_timers& timers_;
    mesh::store_mirror const& mirror_;
    // Held requests by id, in order of arrival.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_request_id_ = 0;
    bool current_ = false;
    std::function<void(mesh::host_address const&)> on_later_era_;
    mesh::config_version unstored_version_;
    // Empty if the store has the configuration in force.
    std::string unstored_configuration_;
};

} // namespace pollenhall::sidecar
