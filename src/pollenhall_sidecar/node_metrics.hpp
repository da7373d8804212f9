// Prometheus metrics of a node: counters, latency histograms and gauges.

#pragma once

#include <pollenhall/ids.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace pollenhall::sidecar
{

/// Metrics of one node. Calls, attempts and gate load must be recorded on the
/// traffic thread, and the `set_` functions be called on the control thread.
/// The text may be read on either, because prometheus-cpp objects are
/// thread-safe. Label cardinality is bounded: services by the configuration,
/// outcomes by the code.
class node_metrics
{
public:
    node_metrics();

    /// Counts a completed request from a caller or the upstream on this host.
    void record_call(service_name const& service, std::string_view outcome,
                     microseconds took);
    /// Counts an additional attempt of a request (a retry or a hedged attempt).
    void record_extra_attempt(service_name const& service,
                              std::string_view reason);
    /// Counts a completed call at the gate, with its queueing and run time.
    void record_gate_call(std::string_view outcome, microseconds waited,
                          microseconds ran);
    /// Sets the gauges of the gate.
    void record_gate_load(int running, int queued, int limit);

    /// Counts a call to the store that has returned.
    void record_store_call(std::string_view call, std::string_view outcome);
    /// Sets the revision up to which the changes of the store are known.
    void set_store_revision(std::int64_t revision);
    /// Sets the era of the store; see `mesh::store_era`.
    void set_store_era(std::int64_t era);
    void set_configuration_version(std::int64_t version);
    void set_store_reachable(bool reachable);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    using name_pair = std::pair<std::string, std::string>;

    // The counter for a pair of label values, created on first use. `labels`
    // are the names of the labels.
    prometheus::Counter&
    counter(std::map<name_pair, prometheus::Counter*>& counters,
            prometheus::Family<prometheus::Counter>& family,
            name_pair const& key, name_pair const& labels);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& call_seconds_;
    prometheus::Family<prometheus::Counter>& extra_attempts_;
    prometheus::Family<prometheus::Counter>& gate_calls_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Histogram& gate_wait_;
    prometheus::Histogram& gate_run_;
    prometheus::Gauge& running_;
    prometheus::Gauge& queued_;
    prometheus::Gauge& limit_;
    prometheus::Gauge& version_;
    prometheus::Gauge& store_;
    prometheus::Gauge& store_revision_;
    prometheus::Gauge& store_era_;
    prometheus::Gauge& dropped_lines_;
    // Counters and histograms created so far, by label values.
    std::map<name_pair, prometheus::Counter*> call_counters_;
    std::map<name_pair, prometheus::Counter*> extra_attempt_counters_;
    std::map<name_pair, prometheus::Counter*> gate_call_counters_;
    std::map<name_pair, prometheus::Counter*> store_call_counters_;
    std::map<service_name, prometheus::Histogram*> call_histograms_;
};

} // namespace pollenhall::sidecar
