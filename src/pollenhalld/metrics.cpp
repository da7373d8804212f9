// Formats metrics with prometheus-cpp. Each thread keeps its own counters, and
// every scrape copies them into a new registry, so counting costs a call only
// an increment.

#include "metrics.hpp"

#include <future>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pollenhall
{
namespace
{

class metrics_page
{
public:
    void add_counter(std::string const& name, std::string const& help,
                     prometheus::Labels const& labels, double value)
    {
        prometheus::BuildCounter()
            .Name(name)
            .Help(help)
            .Register(registry_)
            .Add(labels)
            .Increment(value);
    }

    void add_gauge(std::string const& name, std::string const& help,
                   double value)
    {
        prometheus::BuildGauge()
            .Name(name)
            .Help(help)
            .Register(registry_)
            .Add({})
            .Set(value);
    }

    std::string format()
    {
        return prometheus::TextSerializer().Serialize(registry_.Collect());
    }

private:
    prometheus::Registry registry_;
};

void add_board(metrics_page& page, board const& counts)
{
    for (auto const& [key, row] : counts.rows())
    {
        auto const labels = [&key = key](char const* result)
        {
            return prometheus::Labels{{"service", key.kind.service.value()},
                                      {"kind", key.kind.kind.value()},
                                      {"result", result}};
        };
        std::string const name = "pollenhall_requests_total";
        std::string const help = "Whole requests taken from callers";
        page.add_counter(name, help, labels("completed_in_time"),
                         static_cast<double>(row.completed_in_time));
        page.add_counter(name, help, labels("completed_late"),
                         static_cast<double>(row.completed_late));
        page.add_counter(name, help, labels("not_run"),
                         static_cast<double>(row.not_run));
        page.add_counter(name, help, labels("unknown"),
                         static_cast<double>(row.unknown));
        prometheus::Labels const kind{{"service", key.kind.service.value()},
                                      {"kind", key.kind.kind.value()}};
        page.add_counter("pollenhall_retries_total", "Tries beyond the first",
                         kind, static_cast<double>(row.retries));
        page.add_counter("pollenhall_upstream_runs_total",
                         "Runs on the upstream beside this node", kind,
                         static_cast<double>(row.upstream_runs));
    }
}

void add_traffic(metrics_page& page, traffic_snapshot const& traffic)
{
    add_board(page, traffic.counts);
    page.add_gauge("pollenhall_upstream_running", "Calls on the upstream",
                   traffic.load.running);
    page.add_gauge("pollenhall_upstream_queued", "Calls that wait for it",
                   traffic.load.queued);
    page.add_gauge("pollenhall_upstream_limit", "Calls that may run at once",
                   traffic.load.limit);
    page.add_gauge("pollenhall_admitted_rank", "Lowest rank admitted",
                   traffic.load.admitted_rank.value());
    page.add_counter("pollenhall_peer_bytes_total", "Bytes to and from peers",
                     {{"direction", "sent"}},
                     static_cast<double>(traffic.links.bytes_sent));
    page.add_counter("pollenhall_peer_bytes_total", "Bytes to and from peers",
                     {{"direction", "received"}},
                     static_cast<double>(traffic.links.bytes_received));
    page.add_counter("pollenhall_peer_frames_refused_total",
                     "Malformed frames from peers", {},
                     static_cast<double>(traffic.links.frames_refused));
    page.add_counter("pollenhall_peer_links_silent_total",
                     "Connections given up because they went silent", {},
                     static_cast<double>(traffic.links.silent_links));
}

void add_control(metrics_page& page, control_snapshot const& control)
{
    page.add_counter("pollenhall_gossip_bytes_total", "Bytes of gossip",
                     {{"direction", "sent"}},
                     static_cast<double>(control.gossip.bytes_sent));
    page.add_counter("pollenhall_gossip_bytes_total", "Bytes of gossip",
                     {{"direction", "received"}},
                     static_cast<double>(control.gossip.bytes_received));
    page.add_counter("pollenhall_gossip_refused_total",
                     "Malformed datagrams from peers", {},
                     static_cast<double>(control.gossip.datagrams_refused));
    page.add_counter("pollenhall_store_calls_total", "Calls to the store", {},
                     static_cast<double>(control.store_calls));
    page.add_gauge("pollenhall_store_watching",
                   "Whether this node watches the store",
                   control.watching ? 1 : 0);
    page.add_gauge("pollenhall_accepting_peers",
                   "Live peers whose upstream accepts work",
                   static_cast<double>(control.accepting_peers));
    page.add_gauge("pollenhall_live_peers", "Peers that live",
                   static_cast<double>(control.live_peers));
}

} // namespace

std::string format_metrics(traffic_plane& traffic, control_plane& control)
{
    std::promise<traffic_snapshot> promise;
    auto future = promise.get_future();
    traffic.snapshot({}, [&promise](traffic_snapshot snapshot)
                     { promise.set_value(std::move(snapshot)); });
    metrics_page page;
    add_traffic(page, future.get());
    add_control(page, control.snapshot());
    return page.format();
}

} // namespace pollenhall
