// Counts the calls to the store by kind and outcome, so that an outage, a limit
// on calls and a store without its history can be told apart.

#pragma once

#include "node_metrics.hpp"
#include "shared_store.hpp"

namespace pollenhall::sidecar
{

/// Passes all calls on to another store. Not thread-safe: used on the control
/// thread only.
class counted_store : public shared_store
{
public:
    /// `store` and `metrics` must outlive this object.
    counted_store(shared_store& store, node_metrics& metrics);

    [[nodiscard]] store_era era() const override { return store_.era(); }
    void read(std::string const& prefix, handler<store_items> on_end) override;
    void watch(std::string const& prefix, store_revision after,
               milliseconds wait, handler<store_items> on_end) override;
    void write(std::string const& key, std::string const& value,
               store_revision expected,
               handler<store_revision> on_end) override;
    void remove(std::string const& key, store_revision expected,
                handler<store_revision> on_end) override;

private:
    // Returns a handler that counts the outcome and then calls `on_end`.
    template <class Value>
    handler<Value> counted(std::string_view call, handler<Value> on_end);

    shared_store& store_;
    node_metrics& metrics_;
};

} // namespace pollenhall::sidecar
