// Counters and latency histograms of a node, by service and outcome.

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

/// Metrics of one node. Each `note_` function is used on the traffic thread,
/// each `set_` function on the control thread, `page` on either: the library's
/// objects may be changed and read at once. Services are bounded by the
/// configuration, outcomes by the code.
class node_metrics
{
public:
    node_metrics();

    /// A request of a caller or of the upstream on this host ended.
    void note_call(service_name const& service, std::string_view outcome,
                   microseconds took);
    /// Another attempt was made, for a reason.
    void note_repeat(service_name const& service, std::string_view reason);
    /// A call at the gate ended, after waiting and running.
    void note_gate_call(std::string_view outcome, microseconds waited,
                        microseconds ran);
    void note_gate_load(int running, int queued, int limit);

    void set_configuration(std::int64_t version);
    void set_store(bool reachable);

    /// The metrics as text.
    [[nodiscard]] std::string page() const;

private:
    using name_pair = std::pair<std::string, std::string>;

    prometheus::Counter&
    counter(std::map<name_pair, prometheus::Counter*>& known,
            prometheus::Family<prometheus::Counter>& family,
            name_pair const& key, char const* second_label);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& call_seconds_;
    prometheus::Family<prometheus::Counter>& repeats_;
    prometheus::Family<prometheus::Counter>& gate_calls_;
    prometheus::Histogram& gate_wait_;
    prometheus::Histogram& gate_run_;
    prometheus::Gauge& running_;
    prometheus::Gauge& queued_;
    prometheus::Gauge& limit_;
    prometheus::Gauge& version_;
    prometheus::Gauge& store_;
    prometheus::Gauge& dropped_lines_;
    std::map<name_pair, prometheus::Counter*> known_calls_;
    std::map<name_pair, prometheus::Counter*> known_repeats_;
    std::map<name_pair, prometheus::Counter*> known_gate_calls_;
    std::map<service_name, prometheus::Histogram*> known_seconds_;
};

} // namespace pollenhall::sidecar
