// The platform's key-value store as the control thread uses it. Implemented
// by `platform/`.

#pragma once

#include <pollenhall/mesh/store_mirror.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace pollenhall::sidecar
{

using mesh::store_item;
using mesh::store_items;
using mesh::store_revision;

/// Where things lie in the store.
struct store_layout
{
    /// Key of the operator's configuration.
    std::string configuration_key;
    /// Prefix of the entries of hosts; followed by the host's address.
    std::string hosts_prefix;
    /// Prefix of all of the above.
    std::string common_prefix;
};

/// The store. Handlers are called on the control thread, later, once. Errors:
/// `OutOfRange` if the history is gone, `FailedPrecondition` if a condition
/// does not hold (nothing was done), `ResourceExhausted` and `Unavailable` if
/// nothing was done, `Unknown` if a write may or may not have been done.
class shared_store
{
public:
    template <class Value>
    using handler = std::function<void(absl::StatusOr<Value>)>;

    virtual ~shared_store() = default;

    /// Reads all items under a prefix; the result is complete.
    virtual void read(std::string const& prefix,
                      handler<store_items> on_end) = 0;
    /// Waits for changes after a revision, at most `wait`; none is no error.
    virtual void watch(std::string const& prefix, store_revision after,
                       milliseconds wait, handler<store_items> on_end) = 0;
    /// Sets a key if its revision is `expected`, 0 for a key that does not
    /// exist; gives the new revision.
    virtual void write(std::string const& key, std::string const& value,
                       store_revision expected,
                       handler<store_revision> on_end) = 0;
    /// Removes a key if its revision is `expected`.
    virtual void remove(std::string const& key, store_revision expected,
                        handler<store_revision> on_end) = 0;
};

} // namespace pollenhall::sidecar
