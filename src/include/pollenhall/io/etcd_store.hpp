// The platform's key-value service, met through the JSON gateway of etcd's
// published v3 API. Calls block; use it from a thread of its own.

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
/// Number of a lease in the store.
using lease_id = strong_value<struct lease_id_tag, std::int64_t>;

/// One key with its value.
struct store_record
{
    std::string key;
    std::string value;
    /// Revision at which the key was last written.
    store_revision modified;
};

/// A consistent view of several keys.
struct store_view
{
    store_revision revision;
    std::vector<store_record> records;
};

/// Requires that a key was last written at `modified`; 0 that it is absent.
struct store_condition
{
    std::string key;
    store_revision modified;
};

/// Writes a key; with a lease, it is removed when the lease lapses.
struct store_write
{
    std::string key;
    std::string value;
    std::optional<lease_id> lease;
};

/// Result of a compare-and-swap that the store answered.
struct commit_result
{
    /// False if a condition did not hold and nothing was written.
    bool succeeded = false;
    store_revision revision;
};

/// Largest value that the store holds, in bytes.
inline constexpr std::size_t max_store_value_bytes = 1'048'576;

/// Settings of `etcd_store`.
struct etcd_store_options
{
    /// IP number.
    std::string address;
    int port = 0;
    /// Wait for each answer.
    milliseconds timeout{1'000};
};

/// A client of the store. Errors are: Unavailable, the store did not take
/// the call; Unknown, it may have taken effect; InvalidArgument, a value is
/// too large; Internal, the answer is not readable.
class etcd_store
{
public:
    explicit etcd_store(etcd_store_options options);
    ~etcd_store();
    etcd_store(etcd_store const&) = delete;
    etcd_store& operator=(etcd_store const&) = delete;

    /// Reads all keys that begin with `prefix`.
    absl::StatusOr<store_view> read_prefix(std::string_view prefix);
    /// Writes all or nothing.
    absl::StatusOr<commit_result>
    commit(std::vector<store_condition> const& conditions,
           std::vector<store_write> const& writes);
    /// Makes a lease that lapses unless it is kept alive.
    absl::StatusOr<lease_id> grant_lease(seconds time_to_live);
    /// NotFound if the lease has lapsed.
    absl::Status keep_alive(lease_id lease);
    /// Receives the keys that changed and the store's revision; returns
    /// whether to go on.
    using change_handler = std::function<bool(
        std::vector<std::string> const& keys, store_revision revision)>;

    /// Waits for changes below `prefix` from `from` on; returns when the
    /// stream ends, when `on_change` returns false, or when nothing arrived
    /// for `max_quiet`.
    absl::Status watch(std::string_view prefix, store_revision from,
                       milliseconds max_quiet, change_handler const& on_change);

    /// Ends a watch that runs on another thread, and all later ones.
    void interrupt();

    /// Calls made so far; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace pollenhall
