// Interface to the platform's key-value store, implemented in `platform/`.

#pragma once

#include <pollenhall/mesh/store_mirror.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

using mesh::store_era;
using mesh::store_item;
using mesh::store_items;
using mesh::store_revision;

/// Keys and key prefixes in the store.
struct store_layout
{
    /// Key of the operator's configuration.
    std::string configuration_key;
    /// Prefix of the host entries; followed by the host's address.
    std::string hosts_prefix;
    /// Common prefix of all of the above, which one watch covers.
    std::string common_prefix;
};

/// Asynchronous key-value store. Each handler is called exactly once, on the
/// control thread, after the call has returned. Errors: `OutOfRange` if the
/// history after the requested revision is not available, also because the
/// store has been restored from an older snapshot, `FailedPrecondition` if the
/// expected revision does not match or is of an earlier era,
/// `ResourceExhausted` and `Unavailable` if the call had no effect, `Unknown`
/// if a write may or may not have been applied.
class shared_store
{
public:
    template <class Value>
    using handler = std::function<void(absl::StatusOr<Value>)>;

    virtual ~shared_store() = default;

    /// Latest era that any response has reported, also that of a failed call.
    [[nodiscard]] virtual store_era era() const = 0;

    /// Reads all items under a prefix; sets `complete` in the result.
    virtual void read(std::string const& prefix,
                      handler<store_items> on_end) = 0;
    /// Waits up to `wait` for changes after a revision. The result is empty if
    /// there are none.
    virtual void watch(std::string const& prefix, store_revision after,
                       milliseconds wait, handler<store_items> on_end) = 0;
    /// Sets a key if its revision is `expected` (0 for a key that does not
    /// exist). The result is the new revision.
    virtual void write(std::string const& key, std::string const& value,
                       store_revision expected,
                       handler<store_revision> on_end) = 0;
    /// Removes a key if its revision is `expected`.
    virtual void remove(std::string const& key, store_revision expected,
                        handler<store_revision> on_end) = 0;
};

} // namespace pollenhall::sidecar
