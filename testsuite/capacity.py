#!/usr/bin/python3
"""Measures the cost of the control plane by the number of nodes.

Starts 12, 50, 100 and 200 daemons on loopback (other counts with --sizes) and
measures CPU time, resident memory and gossip bytes per node, and the store
calls of the deployment. Also measures the time until a change is in force on
all nodes, before and after a quarter of the daemons was killed, and the time
until all nodes know of a drain, with the store up and down. Writes
build/capacity/slopes.json.
"""

import argparse
import concurrent.futures
import datetime
import json
import os
import pathlib
import re
import shutil
import sys
import tempfile
import time

from deployment import BUILD, ROOT, Deployment, metric, wait_until

IDLE_PERIOD_S = 10
ZONES = tuple(f"zone-{number}" for number in range(12))
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")
POOL = concurrent.futures.ThreadPoolExecutor(16)


def cpu_seconds(process):
    text = pathlib.Path(f"/proc/{process.child.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(process):
    text = pathlib.Path(f"/proc/{process.child.pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_SIZE_BYTES


def gossip_bytes(node):
    from deployment import http_request
    text = http_request(node.caller_port, "GET", "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith("pollenhall_gossip_bytes_total{"))


def running_nodes(deployment):
    return [node for node in deployment.nodes.values()
            if node.daemon.running]


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


def apply_change(deployment, folder, node, slots):
    """Applies new slots; returns the seconds until in force, by node."""
    path = folder / "services" / "stock.ini"
    path.write_text(re.sub(r"slots = \d+", f"slots = {slots}",
                           path.read_text()))
    started = time.time()
    _, text = deployment.ctl(node, "apply", folder, check=0)
    generation = int(re.search(r"generation (\d+)", text).group(1))
    log_fields = f"space=member/testers generation={generation} "
    nodes = running_nodes(deployment)
    times = {}

    def all_applied():
        for item in nodes:
            if item.name in times:
                continue
            for line in item.daemon.log().splitlines():
                if log_fields in line:
                    stamp = re.match(r"ts=(\S+)Z", line).group(1)
                    moment = datetime.datetime.fromisoformat(
                        stamp + "+00:00").timestamp()
                    times[item.name] = max(0, moment - started)
        return len(times) == len(nodes)

    wait_until(all_applied, 30, "the change is in force on all nodes")
    return list(times.values())


def measure_drain(deployment, node, undo=False):
    """Returns the seconds until all other nodes know of the drain."""
    others = [item for item in running_nodes(deployment) if item is not node]
    before = metric(others[0], "pollenhall_accepting_peers")
    wanted = before + (1 if undo else -1)
    started = time.monotonic()
    deployment.ctl(node, "drain", *(["--undo"] if undo else []), check=0)

    def knows(item):
        return metric(item, "pollenhall_accepting_peers") == wanted

    wait_until(lambda: all(POOL.map(knows, others)), 30,
               "all nodes know of the drain")
    return time.monotonic() - started


def store_calls(deployment):
    return sum(deployment.store_counters().values())


def measure_idle(deployment):
    nodes = running_nodes(deployment)
    cpu = [cpu_seconds(node.daemon) for node in nodes]
    sent = list(POOL.map(gossip_bytes, nodes))
    calls = store_calls(deployment)
    started = time.monotonic()
    time.sleep(IDLE_PERIOD_S)
    elapsed = time.monotonic() - started
    cpu = [cpu_seconds(node.daemon) - before
           for node, before in zip(nodes, cpu)]
    sent = [after - before for after, before
            in zip(POOL.map(gossip_bytes, nodes), sent)]
    return {
        "core_percent_mean": 100 * sum(cpu) / len(cpu) / elapsed,
        "core_percent_max": 100 * max(cpu) / elapsed,
        "resident_mb_mean": sum(resident_bytes(node.daemon)
                                for node in nodes) / len(nodes) / 1e6,
        "gossip_kb_per_s_mean": sum(sent) / len(sent) / elapsed / 1000,
        "store_calls_per_s": (store_calls(deployment) - calls) / elapsed,
    }


def measure(size):
    with tempfile.TemporaryDirectory() as directory, \
            Deployment(pathlib.Path(directory) / "run",
                       caller_connections=64) as deployment:
        folder = pathlib.Path(directory) / "declarations"
        shutil.copytree(ROOT / "testsuite" / "declarations", folder)
        deployment.start_store()
        for number in range(size):
            deployment.add_node(f"n{number:03}", ZONES[number % len(ZONES)])
        first, second = list(deployment.nodes.values())[:2]
        joined = time.monotonic()
        deployment.wait_members(120)
        joined = time.monotonic() - joined
        deployment.start_upstream(second, "stock")
        apply_change(deployment, folder, first, 20)
        wait_until(lambda: metric(first, "pollenhall_accepting_peers") == 1,
                   20, "the first node knows the upstream")
        result = {"nodes": size, "join_s": joined,
                  "quiet": measure_idle(deployment)}
        times = [item for slots in range(21, 26)
                 for item in apply_change(deployment, folder, first, slots)]
        result["in_force_p50_s"] = quantile(times, 0.5)
        result["in_force_max_s"] = max(times)
        time.sleep(3)
        result["drain_known_s"] = measure_drain(deployment, second)
        measure_drain(deployment, second, undo=True)
        deployment.set_store_fault(down=True)
        time.sleep(2)
        result["drain_known_store_down_s"] = measure_drain(deployment, second)
        deployment.set_store_fault(down=False)
        time.sleep(12)
        calls_before = store_calls(deployment)
        time.sleep(1)
        result["store_calls_after_return_per_s"] = (
            store_calls(deployment) - calls_before)
        killed = [node for index, node in
                  enumerate(deployment.nodes.values())
                  if index % 4 == 3]
        for node in killed:
            node.daemon.kill()
        result["in_force_max_quarter_killed_s"] = max(
            apply_change(deployment, folder, first, 30))
        return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+",
                        default=[12, 50, 100, 200])
    arguments = parser.parse_args()
    results = []
    for size in arguments.sizes:
        results.append(measure(size))
        print(json.dumps(results[-1]), flush=True)
    folder = BUILD / "capacity"
    folder.mkdir(exist_ok=True)
    (folder / "slopes.json").write_text(json.dumps(results, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
