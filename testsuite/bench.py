#!/usr/bin/python3
"""Overload benchmark: a bottleneck service slows down while the load rises
and callers retry aggressively (the storm).

Runs the workload of each member with and without overload control, and with
control once for each fault, on real daemons and stand-in upstreams. Writes
build/bench/summary.json and build/bench/goodput.svg.

    bench.py [--seed N] [--scale X] [--only MEMBER] [--no-faults]
"""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from deployment import (BUILD, ROOT, UMBRELLA, UMBRELLA_ZONES, VANDERHOEK,
                        VANDERHOEK_ZONES, Deployment, start_member)
from goodput_plot import write_plot

CALM_S = 6
STORM_S = 10
RECOVERY_S = 14
BOTTLENECK_SLOWDOWN = 5.0
STORM_LOAD_FACTOR = 2.5


class Workload:
    """The services of one member and the request streams of its load."""

    def __init__(self, name, services, zones, bottleneck, streams):
        self.name = name
        self.services = services
        self.zones = zones
        self.bottleneck = bottleneck
        # (kind, keyed, critical, deadline in ms, requests per second before
        # and after the storm at scale 1)
        self.streams = streams


WORKLOADS = {
    "vanderhoek": Workload(
        "vanderhoek", VANDERHOEK, VANDERHOEK_ZONES, "printshop",
        [("catalogue/lookup", False, False, 500, 8000),
         ("orders/place", True, True, 2000, 200),
         ("warranty/claim", True, True, 2000, 600),
         ("printshop/reprint", True, False, 10000, 2400)]),
    "umbrella": Workload(
        "umbrella", UMBRELLA, UMBRELLA_ZONES, "availability",
        [("availability/nearby", False, False, 1000, 12000),
         ("deposits/take", True, True, 2000, 800),
         ("unlocking/release", True, True, 1000, 1200),
         ("returns/record", True, True, 3000, 300)]),
}

FAULTS = ("upstream_killed", "store_down", "connections_silent",
          "crashing_request", "host_replaced")


def make_plan(workload, scale, seed, entries):
    streams = []
    for kind, keyed, critical, deadline, rate in workload.streams:
        calm = rate * scale
        streams.append({
            "kind": kind, "keyed": keyed, "critical": critical,
            "deadline_ms": deadline,
            "rates": [[0, calm], [CALM_S, calm * STORM_LOAD_FACTOR],
                      [CALM_S + STORM_S, calm]]})
    return {"seed": seed, "seconds": CALM_S + STORM_S + RECOVERY_S,
            "entries": entries, "client_retries": 5, "max_threads": 1500,
            "streams": streams}


def set_bottleneck_slowdown(deployment, workload, factor):
    slots, service_ms, _ = workload.services[workload.bottleneck]
    for node in deployment.nodes.values():
        if node.service == workload.bottleneck and node.upstream.running:
            deployment.set_behaviour(node, service_ms=service_ms * factor)


def inject_fault(deployment, workload, fault, scale):
    """Injects one fault during the storm."""
    nodes = [node for node in deployment.nodes.values()
             if node.service == workload.bottleneck]
    affected = nodes[0]
    slots, service_ms, calls = workload.services[workload.bottleneck]
    if fault == "upstream_killed":
        affected.upstream.kill()
        time.sleep(2)
        deployment.start_upstream(affected, workload.bottleneck,
                                  max(2, int(slots * scale)),
                                  service_ms * BOTTLENECK_SLOWDOWN, calls)
    elif fault == "store_down":
        deployment.set_store_fault(down=True)
    elif fault == "connections_silent":
        # Peers see the connections of a frozen process as silent.
        affected.daemon.send(signal.SIGSTOP)
        time.sleep(2)
        affected.daemon.send(signal.SIGCONT)
    elif fault == "crashing_request":
        for node in nodes:
            deployment.set_behaviour(node, crash_on="the poisoned card")
        entry = next(iter(deployment.nodes.values()))
        kind = workload.streams[0][0].split("/")[0]
        path = {"vanderhoek": "printshop/label",
                "umbrella": "availability/nearby"}[workload.name]
        if kind == "availability":
            for node in deployment.nodes.values():
                if node.service == "availability":
                    deployment.set_behaviour(node,
                                             crash_on="the poisoned card")
        for _ in range(6):
            try:
                deployment.call(entry, path, b"the poisoned card")
            except OSError:
                pass
            time.sleep(0.2)
        for node in deployment.nodes.values():
            if node.upstream and not node.upstream.running:
                slots, service_ms, calls = workload.services[node.service]
                factor = (BOTTLENECK_SLOWDOWN
                          if node.service == workload.bottleneck else 1)
                deployment.start_upstream(
                    node, node.service, max(2, int(slots * scale)),
                    service_ms * factor, calls)
    elif fault == "host_replaced":
        affected.daemon.kill()
        affected.upstream.kill()
        time.sleep(1)
        deployment.start_daemon(affected)
        deployment.start_upstream(affected, workload.bottleneck,
                                  max(2, int(slots * scale)),
                                  service_ms * BOTTLENECK_SLOWDOWN, calls)


def control_storm(deployment, workload, fault, scale):
    """Slows the bottleneck service during the storm and injects the fault."""
    time.sleep(CALM_S)
    set_bottleneck_slowdown(deployment, workload, BOTTLENECK_SLOWDOWN)
    started = time.monotonic()
    if fault:
        time.sleep(2)
        inject_fault(deployment, workload, fault, scale)
    time.sleep(max(0, STORM_S - (time.monotonic() - started)))
    set_bottleneck_slowdown(deployment, workload, 1.0)
    if fault == "store_down":
        deployment.set_store_fault(down=False)


def collect_runs(deployment):
    """Sums the runs by key and by trace over all running upstreams."""
    keys, traces = {}, {}
    for node in deployment.nodes.values():
        if not node.upstream or not node.upstream.running:
            continue
        try:
            runs = deployment.runs(node)
        except OSError:
            continue
        for key, count in runs["keys"].items():
            keys[key] = keys.get(key, 0) + count
        for trace, count in runs["runs_by_trace"].items():
            traces[trace] = traces.get(trace, 0) + count
    return keys, traces


def chain_length(workload, kind):
    service, name = kind.split("/")
    for item in workload.services[service][2]:
        caller, targets = item.split("=")
        if caller == name:
            return 1 + len(targets.split(","))
    return 1


def recovery_time(rows, storm_end):
    """Returns the seconds until 99% complete in time over five seconds."""
    step, window = 0.25, 5.0
    moment = storm_end
    last = max(row[1] for row in rows)
    while moment + window <= last + 0.5:
        chosen = [row for row in rows if moment <= row[1] < moment + window]
        if chosen and sum(row[4] for row in chosen) >= 0.99 * len(chosen):
            return moment - storm_end
        moment += step
    return None


def completed_share(rows):
    return sum(row[4] for row in rows) / len(rows) if rows else None


def cpu_ticks():
    """Returns the machine's stolen and total CPU time since boot, in ticks."""
    with open("/proc/stat", encoding="ascii") as file:
        fields = [int(field) for field in file.readline().split()[1:]]
    return fields[7], sum(fields[:8])


def run_storm(workload, scale, seed, policy, fault=None):
    with tempfile.TemporaryDirectory() as directory, \
            Deployment(directory, policy=policy,
                       caller_connections=2000) as deployment:
        deployment.start_store()
        start_member(deployment, workload.services, workload.zones, scale)
        deployment.wait_members(30)
        first = next(iter(deployment.nodes.values()))
        deployment.ctl(first, "apply", ROOT / "deploy" / workload.name,
                       check=0)
        deployment.wait_ready()
        for kind, keyed, _, _, _ in workload.streams:
            deployment.wait_callable(first, kind, 30, keyed)
        # The first rosters take effect a few seconds after all nodes joined.
        time.sleep(5)
        entries = [node.caller_port for node in deployment.nodes.values()]
        if fault == "host_replaced":
            entries = [node.caller_port
                       for node in deployment.nodes.values()
                       if node.service != workload.bottleneck]
        plan = make_plan(workload, scale, seed, entries)
        controller = threading.Thread(
            target=control_storm, args=(deployment, workload, fault, scale))
        driver = subprocess.Popen([BUILD / "src/standins/load_driver"],
                                  stdin=subprocess.PIPE,
                                  stdout=subprocess.PIPE, text=True)
        stolen, total = cpu_ticks()
        controller.start()
        output, _ = driver.communicate(json.dumps(plan))
        controller.join()
        stolen_after, total_after = cpu_ticks()
        rows = json.loads(output)["requests"]
        keys, traces = collect_runs(deployment)
        result = evaluate(workload, rows, keys, traces)
        # A high share of stolen CPU time makes the run unreliable.
        result["machine_stolen_share"] = \
            (stolen_after - stolen) / (total_after - total)
        return result, rows


def evaluate(workload, rows, keys, traces):
    storm = [row for row in rows
             if CALM_S <= row[1] < CALM_S + STORM_S]
    critical = {index for index, stream in enumerate(workload.streams)
                if stream[2]}
    storm_critical = [row for row in storm if row[0] in critical]
    keyed = [row for row in rows if row[6]]
    ran = {key.strip('"'): count for key, count in keys.items()}
    unknown = sum(row[7] in ("unknown", "lost") and not row[4]
                  for row in keyed)
    refused_but_ran = sum(row[8] and ran.get(row[6], 0) > 0 for row in keyed)
    longest = max(chain_length(workload, stream[0])
                  for stream in workload.streams)
    max_runs = max(traces.values(), default=0)
    admitted_low = completed_share(
        [row for row in storm if row[0] not in critical])
    admitted_critical = completed_share(storm_critical)
    return {
        "offered": len(rows),
        "offered_storm": len(storm),
        "goodput_calm": completed_share(
            [row for row in rows if row[1] < CALM_S]),
        "goodput_ratio": completed_share(storm),
        "goodput_ratio_critical": admitted_critical,
        "goodput_by_stream": {
            stream[0]: completed_share(
                [row for row in storm if row[0] == index])
            for index, stream in enumerate(workload.streams)},
        "recovery_s": recovery_time(rows, CALM_S + STORM_S),
        "max_retries_per_request": max(0, max_runs - longest),
        "duplicate_runs": sum(count > 1 for count in ran.values()),
        "lost_or_wrong_answers": sum(row[5] for row in rows),
        "refused_but_ran": refused_but_ran,
        "unknown_ratio": unknown / len(keyed) if keyed else 0,
        "critical_shed_while_lower_admitted": int(
            (admitted_low or 0) > (admitted_critical or 0) + 0.05),
    }


def commit_id():
    result = subprocess.run(["git", "rev-parse", "--short", "HEAD"],
                            capture_output=True, text=True, cwd=ROOT)
    return result.stdout.strip()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=0.06)
    parser.add_argument("--only")
    parser.add_argument("--no-faults", action="store_true")
    parser.add_argument("--faults-of", default="vanderhoek umbrella",
                        help="members to run with each fault")
    parser.add_argument("--no-baseline", action="store_true")
    arguments = parser.parse_args()
    summary = {"seed": arguments.seed, "scale": arguments.scale,
               "commit": commit_id(), "retry_bound": 3}
    plots = {}
    for name, workload in WORKLOADS.items():
        if arguments.only and name != arguments.only:
            continue
        result, rows = run_storm(workload, arguments.scale, arguments.seed,
                                 "full")
        result["retry_bound"] = 3
        plots[f"{name}, ours"] = rows
        if not arguments.no_baseline:
            baseline, base_rows = run_storm(workload, arguments.scale,
                                            arguments.seed, "none")
            plots[f"{name}, no control"] = base_rows
            result.update({f"baseline_{key}": baseline[key] for key in
                           ("goodput_ratio", "goodput_ratio_critical",
                            "recovery_s", "goodput_by_stream",
                            "max_retries_per_request")})
        if not arguments.no_faults and name in arguments.faults_of:
            result["faults"] = {
                fault: run_storm(workload, arguments.scale, arguments.seed,
                                 "full", fault)[0] for fault in FAULTS}
        summary[name] = result
        print(json.dumps({name: result}, indent=2))
    folder = BUILD / "bench"
    folder.mkdir(exist_ok=True)
    (folder / "summary.json").write_text(json.dumps(summary, indent=2))
    write_plot(folder / "goodput.svg", plots, CALM_S, CALM_S + STORM_S)
    print(f"wrote {folder.relative_to(ROOT)}/summary.json")
    return 0


if __name__ == "__main__":
    sys.exit(main())
