// Client of the platform's key-value store, over the JSON gateway of etcd's v3
// API. Calls block, so they belong on a dedicated thread.

#pragma once

#include <pollenhall/ids.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenhall
{

/// Revision of the store; 0 for a key that does not exist.
using store_revision = strong_value<struct store_revision_tag, std::int64_t>;
/// Identifies a lease in the store.
using lease_id = strong_value<struct lease_id_tag, std::int64_t>;

/// One key with its value.
struct store_record
{
    std::string key;
    std::string value;
    /// Revision of the last write to the key.
    store_revision modified;
};

/// Consistent snapshot of several keys.
struct store_view
{
    store_revision revision;
    std::vector<store_record> records;
};

/// Requires that the last write to a key was at revision `modified`; 0 requires
/// that the key does not exist.
struct store_condition
{
    std::string key;
    store_revision modified;
};

/// Writes a key. If a lease is given, the store deletes the key when the lease
/// expires.
struct store_write
{
    std::string key;
    std::string value;
    std::optional<lease_id> lease;
};

/// Result of a compare-and-swap transaction.
struct commit_result
{
    /// False if a condition did not hold; nothing was written then.
    bool succeeded = false;
    store_revision revision;
};

/// Maximum size of a value.
inline constexpr std::size_t max_store_value_bytes = 1'048'576;

/// Settings of `etcd_store`.
struct etcd_store_options
{
    /// IP address.
    std::string address;
    int port = 0;
    /// Timeout for connecting and for each response.
    milliseconds timeout{1'000};
};

/// Client of the store. Errors: Unavailable, the store did not process the
/// call; Unknown, the call may have taken effect; InvalidArgument, a value is
/// too large; Internal, the response is malformed.
class etcd_store
{
public:
    explicit etcd_store(etcd_store_options options);
    ~etcd_store();
    etcd_store(etcd_store const&) = delete;
    etcd_store& operator=(etcd_store const&) = delete;

    /// Reads all keys that begin with `prefix`.
    absl::StatusOr<store_view> read_prefix(std::string_view prefix);
    /// Performs all writes in one transaction if all conditions hold.
    absl::StatusOr<commit_result>
    commit(std::vector<store_condition> const& conditions,
           std::vector<store_write> const& writes);
    /// Creates a lease that expires unless `keep_alive` renews it in time.
    absl::StatusOr<lease_id> grant_lease(seconds time_to_live);
    /// Renews a lease. Returns NotFound if it has expired.
    absl::Status keep_alive(lease_id lease);
    /// Receives the changed keys and the store's revision; returns false to end
    /// the watch.
    using change_handler = std::function<bool(
        std::vector<std::string> const& keys, store_revision revision)>;

    /// Watches the keys that begin with `prefix` for changes from revision
    /// `from` on. Returns when the stream ends, when `on_change` returns false,
    /// when nothing arrives for `idle_timeout`, or when the store has not
    /// reached the revision before `from`. Returns Internal at a
    /// response that is malformed; the changes before it were reported.
    absl::Status watch(std::string_view prefix, store_revision from,
                       milliseconds idle_timeout,
                       change_handler const& on_change);

    /// Cancels a watch that runs on another thread, and any later watch.
    void interrupt();

    /// Number of calls so far; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
