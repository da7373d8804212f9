// Registration and update of the metrics in prometheus-cpp.

#include "node_metrics.hpp"

#include <pollenhall/io/log_lines.hpp>

#include <prometheus/text_serializer.h>

namespace pollenhall::sidecar
{
namespace
{

prometheus::Histogram::BucketBoundaries const latency_buckets_seconds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

prometheus::Family<prometheus::Counter>&
counter_family(prometheus::Registry& registry, char const* name,
               char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>&
histogram_family(prometheus::Registry& registry, char const* name,
                 char const* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, char const* name,
                         char const* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

double to_seconds(microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

node_metrics::node_metrics()
    : calls_(counter_family(registry_, "pollenhall_calls_total",
                            "Requests of this host that ended")),
      call_seconds_(histogram_family(registry_, "pollenhall_call_seconds",
                                     "Time from a request to its answer")),
      extra_attempts_(counter_family(registry_, "pollenhall_repeats_total",
                                     "Further attempts, by what went before")),
      gate_calls_(counter_family(registry_, "pollenhall_gate_calls_total",
                                 "Calls at the upstream of this host")),
      store_calls_(counter_family(registry_, "pollenhall_store_calls_total",
                                  "Calls to the store that have returned")),
      gate_wait_(histogram_family(registry_, "pollenhall_gate_wait_seconds",
                                  "Time that calls waited for a slot")
                     .Add({}, latency_buckets_seconds)),
      gate_run_(histogram_family(registry_, "pollenhall_gate_run_seconds",
                                 "Time that calls ran at the upstream")
                    .Add({}, latency_buckets_seconds)),
      running_(gauge(registry_, "pollenhall_gate_running",
                     "Calls that run at the upstream")),
      queued_(gauge(registry_, "pollenhall_gate_queued",
                    "Calls that wait for a slot")),
      limit_(gauge(registry_, "pollenhall_gate_limit",
                   "Calls that may run at once")),
      version_(gauge(registry_, "pollenhall_configuration_version",
                     "Version of the configuration in force")),
      store_(gauge(registry_, "pollenhall_store_reachable",
                   "Whether the last call to the store was answered")),
      store_revision_(
          gauge(registry_, "pollenhall_store_revision",
                "Revision of the store up to which changes are known")),
      store_era_(gauge(registry_, "pollenhall_store_era",
                       "Era of the store, higher after each restore")),
      dropped_lines_(gauge(registry_, "pollenhall_log_lines_dropped",
                           "Log lines that found no room"))
{
}

prometheus::Counter&
node_metrics::counter(std::map<name_pair, prometheus::Counter*>& counters,
                      prometheus::Family<prometheus::Counter>& family,
                      name_pair const& key, name_pair const& labels)
{
    auto& cached = counters[key];
    if (cached == nullptr)
        cached = &family.Add(
            {{labels.first, key.first}, {labels.second, key.second}});
    return *cached;
}

void node_metrics::record_call(service_name const& service,
                               std::string_view outcome, microseconds took)
{
    counter(call_counters_, calls_, {service.value(), std::string(outcome)},
            {"service", "outcome"})
        .Increment();
    auto& histogram = call_histograms_[service];
    if (histogram == nullptr)
        histogram = &call_seconds_.Add({{"service", service.value()}},
                                       latency_buckets_seconds);
    histogram->Observe(to_seconds(took));
}

void node_metrics::record_extra_attempt(service_name const& service,
                                        std::string_view reason)
{
    counter(extra_attempt_counters_, extra_attempts_,
            {service.value(), std::string(reason)}, {"service", "reason"})
        .Increment();
}

void node_metrics::record_gate_call(std::string_view outcome,
                                    microseconds waited, microseconds ran)
{
    counter(gate_call_counters_, gate_calls_, {"own", std::string(outcome)},
            {"service", "outcome"})
        .Increment();
    gate_wait_.Observe(to_seconds(waited));
    gate_run_.Observe(to_seconds(ran));
}

void node_metrics::record_gate_load(int running, int queued, int limit)
{
    running_.Set(running);
    queued_.Set(queued);
    limit_.Set(limit);
}

void node_metrics::record_store_call(std::string_view call,
                                     std::string_view outcome)
{
    counter(store_call_counters_, store_calls_,
            {std::string(call), std::string(outcome)}, {"call", "outcome"})
        .Increment();
}

void node_metrics::set_store_revision(std::int64_t revision)
{
    store_revision_.Set(static_cast<double>(revision));
}

void node_metrics::set_store_era(std::int64_t era)
{
    store_era_.Set(static_cast<double>(era));
}

void node_metrics::set_configuration_version(std::int64_t version)
{
    version_.Set(static_cast<double>(version));
}

void node_metrics::set_store_reachable(bool reachable)
{
    store_.Set(reachable ? 1 : 0);
}

std::string node_metrics::serialize() const
{
    dropped_lines_.Set(static_cast<double>(dropped_log_lines()));
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace pollenhall::sidecar
