#!/usr/bin/python3
"""Fault soak: runs real nodes on loopback under random external faults and
checks what callers and upstreams observe. See `soak.py --help`."""

import argparse
import asyncio
import bisect
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import aiohttp

from fleet import Node
from standins import Record, Store, signature_of

SEEDS = pathlib.Path(__file__).with_name("seeds.txt")
SERVICES = ("front", "ledger", "leaf")
# Documented bounds for small deployments.
DRAIN_BOUND_S = 2.0
# A fault may affect calls this long after it has ended.
FAULT_IMPACT_BOUND_S = 3.0
APPLY_BOUND_S = 2.0
# Added to APPLY_BOUND_S while the store is unstable.
UNSTABLE_STORE_EXTRA_S = 5.0
# Calls of one node to the store in the time below after a restore: two reads,
# two writes of its entry, and watches that end after a batch delay of 0.3 s.
MAX_CALLS_AFTER_RESTORE = 11
# Further calls if another fault makes the store fail: retries after 38 ms on
# average, then after delays that grow by half up to 600 ms.
MAX_RETRIES_AFTER_RESTORE = 9
CALLS_AFTER_RESTORE_S = 2.0
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_SLACK = 47
RETRY_WINDOW_S = 10.0
RECOVERY_BOUND_S = 15.0
# Allowance for scheduling delays of this program on a busy machine; the
# bounds apply to the node only.
HARNESS_DELAY_S = 0.3
# Required share of served requests after the faults; stricter than the
# documented bound.
MIN_RECOVERED_SHARE = 0.95


class Fleet:
    """The store, the nodes and the state shared by one run."""

    drain_bound_s = DRAIN_BOUND_S + HARNESS_DELAY_S
    fault_impact_s = FAULT_IMPACT_BOUND_S
    retry_budget_ratio = RETRY_BUDGET_RATIO
    retry_budget_slack = RETRY_BUDGET_SLACK

    def __init__(self, seed, hosts, folder):
        self.random = random.Random(seed)
        self.folder = folder
        self.record = Record()
        self.store = Store()
        # Below the range that the kernel uses for outgoing connections.
        self.base_port = 20_000 + self.random.randrange(1_000) * 10
        while not self.ports_free():
            self.base_port += 10
        self.store_port = self.base_port + 9
        self.nodes = [Node(self, number + 1, f"z{number % 3 + 1}",
                           SERVICES[number // 3 % 3])
                      for number in range(hosts)]
        self.version = 0
        # The newest configuration, as the operator wrote it.
        self.configuration = ""
        self.store_impaired_until = 0.0
        # A restore excuses less than another impairment of the store.
        self.store_restored_until = 0.0
        # Calls of each node after each restore.
        self.calls_after_restore = []

    def port(self, offset):
        return self.base_port + offset

    def ports_free(self):
        """Whether the ports are free; another run may use these addresses."""
        for host in ("127.0.0.1", "127.1.0.1", "127.2.0.1", "127.3.0.1"):
            for offset in range(10):
                with socket.socket() as probe:
                    try:
                        probe.bind((host, self.base_port + offset))
                    except OSError:
                        return False
        return True

    def configure(self):
        """Writes a new configuration version, with a route of its own."""
        self.version += self.random.randint(1, 5)
        path = {"timeout_ms": 4000, "target_latency_ms": 1000,
                "attempts": 2, "priority": 2}
        kinds = {"front": "idempotent", "ledger": "non_idempotent",
                 "leaf": "idempotent"}
        paths = [path | {"name": name, "prefix": f"/{name}/",
                         "service": name, "route_type": kind,
                         "priority": 0 if name == "ledger" else 2}
                 for name, kind in kinds.items()]
        paths.append(path | {
            "name": f"v{self.version}", "service": "leaf",
            "prefix": f"/leaf/v{self.version}/", "route_type": "idempotent"})
        # A node without this version responds with 404 to the version's host.
        hosts = [{"host": "soak.example", "paths": paths},
                 {"host": f"v{self.version}.example", "paths": paths}]
        self.configuration = json.dumps({
            "version": self.version, "virtual_hosts": hosts,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 500} for name in SERVICES],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        self.store.put("op/config", self.configuration)

    def write_lost_configuration(self):
        """Writes the newest configuration again if the store has lost it."""
        if self.store.items.get("op/config", ("",))[0] != self.configuration:
            self.store.put("op/config", self.configuration)

    async def start(self):
        self.runner = await self.store.start("127.0.0.1", self.store_port)
        self.configure()
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def stop(self):
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.runner.cleanup()

    def any_impaired(self, since):
        """Whether the store or a node was impaired at `since` or later."""
        return (since < self.store_impaired_until
                or any(node.is_impaired(since) for node in self.nodes))

    def mark_store_impaired(self, for_s):
        self.store_impaired_until = max(
            self.store_impaired_until,
            time.monotonic() + for_s + FAULT_IMPACT_BOUND_S)


class Callers:
    """Sends requests through every node and checks each response."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.record = fleet.record
        self.sequence = 0
        # (time sent, node, served) of every request.
        self.outcomes = []
        # (request id, status) of each response that says it was not executed.
        self.rejected = []

    async def run(self, node, rate, until):
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=8)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = set()
            while time.monotonic() < until:
                task = asyncio.create_task(self.request(session, node))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(self.fleet.random.expovariate(rate))
            await asyncio.gather(*tasks)

    async def request(self, session, node):
        self.sequence += 1
        request_id = (f"{self.sequence:06x}"
                      f"{self.fleet.random.getrandbits(40):010x}")
        service, calls = self.fleet.random.choice(
            (("front", 2), ("front", 2), ("ledger", 1), ("leaf", 0)))
        method = "POST" if service == "ledger" else "GET"
        sent = time.monotonic()
        self.record.sent.append((sent, service))
        start_count, stopping = node.start_count, node.stopping_since
        outcome = "cut"
        try:
            async with session.request(
                    method,
                    f"http://{node.outbound}/{service}/x?calls={calls}",
                    data=b"b" * 200 if method == "POST" else None,
                    headers={"Host": "soak.example",
                             "Request-Id": request_id,
                             "Deadline-Ms": "4000"},
                    timeout=aiohttp.ClientTimeout(6)) as response:
                body = await response.read()
                outcome = self.check_response(request_id, service, response,
                                              body)
        except asyncio.TimeoutError:
            outcome = "silence"
        except (aiohttp.ClientError, OSError):
            pass
        if stopping is None or sent - stopping < 1:
            self.outcomes.append((sent, node, outcome == "served"))
        if outcome == "silence" and not node.is_impaired(time.monotonic()):
            self.record.add_finding(
                f"{request_id}: no response 2 s after the deadline")
        # The guarantee for planned stops excludes other faults: a frozen peer
        # may delay a response beyond the grace period.
        if (outcome == "cut" and node.stopping_since is not None
                and start_count == node.start_count
                and not self.fleet.any_impaired(sent)
                and self.was_run(request_id)):
            self.record.add_finding(
                f"{request_id}: connection lost in a planned stop after an "
                "upstream had started the request")

    def was_run(self, request_id):
        return request_id in self.record.runs

    def check_response(self, request_id, service, response, body):
        if response.status in (429, 503, 408, 421):
            self.rejected.append((request_id, response.status))
        elif response.status in (400, 401, 403, 404):
            self.record.add_finding(f"{request_id}: a valid request got "
                                    f"status {response.status}")
        if response.status != 200:
            return "failed"
        expected = f"{request_id} /{service}/x".encode() * 8
        if (body != expected or response.headers.get("Upstream-Signature")
                != signature_of(request_id, expected)):
            self.record.add_finding(f"{request_id}: body or signature does "
                                    "not match the request")
        return "served"


class VersionMonitor:
    """Polls each node for the configuration version that it serves."""

    def __init__(self, fleet):
        self.fleet = fleet
        # Newest version seen, by (node, start count).
        self.seen = {}
        self.number = 0

    async def run(self, until):
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*(self.poll_until(until, session, node)
                                   for node in self.fleet.nodes))

    async def poll_until(self, until, session, node):
        """Polls one node; one that does not respond delays no other."""
        while time.monotonic() < until:
            await self.poll(session, node)
            await asyncio.sleep(0.3)

    async def poll(self, session, node):
        version = self.fleet.version
        start_count = node.start_count
        if node.stopping_since is not None:
            return
        self.number += 1
        try:
            async with session.get(
                    f"http://{node.outbound}/leaf/v{version}/look",
                    headers={"Host": f"v{version}.example",
                             "Request-Id": f"look{self.number:08x}",
                             "Deadline-Ms": "1000"},
                    timeout=aiohttp.ClientTimeout(3)) as response:
                reason = (await response.read()).strip()
                known = response.status != 404
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return
        # A node without a configuration, or one that is stopping, says nothing
        # about the version. Otherwise only 404 means that the version is
        # unknown: a call that the upstreams refuse is on a known route.
        if reason in (b"no_configuration", b"node_stopping"):
            return
        if node.start_count != start_count:
            return
        self.fleet.record.sent.append((time.monotonic(), "leaf"))
        if known:
            self.seen[node, start_count] = version
        elif (self.seen.get((node, start_count)) == version
              and self.fleet.version == version):
            self.fleet.record.add_finding(
                f"node {node.number} no longer serves version {version}")

    async def wait_in_force(self, version, bound_s):
        """Whether all stable nodes serve a version within `bound_s`."""
        end = time.monotonic() + bound_s
        while time.monotonic() < end:
            if all(self.seen.get((node, node.start_count), 0) >= version
                   for node in self.fleet.nodes if self.is_stable(node)):
                return True
            await asyncio.sleep(0.05)
        return False

    def is_stable(self, node):
        """Whether the node is neither stopping nor affected by a fault."""
        return (node.stopping_since is None
                and not node.is_impaired(time.monotonic()))


# Share of the seeds with planned operations only: the guarantee for planned
# stops excludes other faults.
PLANNED_ONLY_SHARE = 0.3


class Faults:
    """Injects random faults; several series run concurrently.

    The method names of the faults are written to faults.log.
    """

    def __init__(self, fleet, versions, planned_only):
        self.fleet = fleet
        self.versions = versions
        self.random = fleet.random
        self.kinds = (self.stop, self.kill, self.pause, self.reload,
                      self.harm_link, self.harm_link, self.harm_store,
                      self.restore_store, self.restore_store,
                      self.configure, self.crash_upstream,
                      self.drain_upstream, self.weaken_upstream,
                      self.weaken_service)
        planned = (self.stop, self.reload, self.configure,
                   self.drain_upstream)
        if planned_only:
            self.kinds = planned
        elif self.random.random() < PLANNED_ONLY_SHARE:
            # A restored store excuses nothing in planned operations.
            self.kinds = planned + (self.restore_store,)

    async def series(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            kind = self.random.choice(self.kinds)
            node = self.random.choice(self.fleet.nodes)
            self.log_fault(kind.__name__, node)
            await kind(node, self.random.uniform(0.3, 3.0))

    def log_fault(self, kind, node):
        with (self.fleet.folder / "faults.log").open("a") as out:
            out.write(f"{time.time():.3f} {kind} {node.number}\n")

    async def stop(self, node, _for_s):
        if node.stopping_since is None:
            await node.stop_gracefully()

    async def kill(self, node, _for_s):
        node.mark_impaired(1)
        node.send_signal(signal.SIGKILL)

    async def pause(self, node, for_s):
        node.mark_impaired(for_s)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        node.send_signal(signal.SIGCONT)
        node.mark_impaired(0)

    async def reload(self, node, _for_s):
        node.send_signal(signal.SIGHUP)

    async def harm_link(self, node, for_s):
        proxy = self.random.choice(node.proxies())
        mode = self.random.choice(proxy.MODES[1:])
        # Nodes detect a silent link only after several seconds.
        node.mark_impaired(for_s + 6)
        proxy.set_mode(mode, self.random.uniform(0.02, 0.5))
        await asyncio.sleep(for_s)
        proxy.set_mode("pass")
        proxy.reset_all()

    async def harm_store(self, _node, for_s):
        store = self.fleet.store
        self.fleet.mark_store_impaired(for_s + 1)
        if self.random.random() < 0.2:
            store.compact_history()
            return
        store.fault = self.random.choice(("busy", "silent", "lossy", "slow"))
        await asyncio.sleep(for_s)
        store.fault = None
        self.fleet.mark_store_impaired(1)

    async def restore_store(self, _node, _for_s):
        fleet = self.fleet
        for _ in range(self.random.choice((1, 1, 1, 2))):
            away_s = self.random.uniform(0.1, 1)
            fleet.store.restore(self.random.uniform(0.5, 5), away_s)
            await asyncio.sleep(away_s)
        await fleet.store.wait_available()
        returned = time.monotonic()
        fleet.store_restored_until = returned + FAULT_IMPACT_BOUND_S
        calls, era = fleet.store.calls, fleet.store.era
        await asyncio.sleep(self.random.choice((0, 0.1, 0.5, 1)))
        await fleet.store.wait_available()
        fleet.write_lost_configuration()
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.choice((0, 0, 0.2, 1)))
            await fleet.store.wait_available()
            fleet.configure()
        await self.check_in_force()
        await asyncio.sleep(returned + CALLS_AFTER_RESTORE_S
                            - time.monotonic())
        if era == fleet.store.era:
            calm = returned >= fleet.store_impaired_until
            self.check_calls_after_restore(
                fleet.store.calls - calls, MAX_CALLS_AFTER_RESTORE + (
                    0 if calm else MAX_RETRIES_AFTER_RESTORE))

    def check_calls_after_restore(self, calls, max_calls_per_node):
        calls_per_node = calls / len(self.fleet.nodes)
        self.fleet.calls_after_restore.append(calls_per_node)
        if calls_per_node > max_calls_per_node:
            self.fleet.record.add_finding(
                f"{calls} calls to the store in {CALLS_AFTER_RESTORE_S:.0f} s "
                "after a restore")

    async def configure(self, _node, _for_s):
        await self.fleet.store.wait_available()
        self.fleet.configure()
        await self.check_in_force()

    async def check_in_force(self):
        """Checks the delay until stable nodes serve the version just written.

        After a restore of the store the bound applies to nodes in touch: they
        serve the version once the impairment has ended, however old it is.
        """
        fleet = self.fleet
        version, era, now = fleet.version, fleet.store.era, time.monotonic()
        calm = now >= fleet.store_impaired_until
        bound = HARNESS_DELAY_S * 2 + (
            max(APPLY_BOUND_S, fleet.store_restored_until - now) if calm
            else APPLY_BOUND_S + UNSTABLE_STORE_EXTRA_S)
        if not await self.versions.wait_in_force(version, bound) and (
                calm and time.monotonic() >= fleet.store_impaired_until
                and era == fleet.store.era and version == fleet.version):
            late = [node.number for node in self.fleet.nodes
                    if self.versions.is_stable(node) and
                    self.versions.seen.get((node, node.start_count), 0)
                    < version]
            if late:
                self.fleet.record.add_finding(
                    f"nodes {late} did not serve version {version} within "
                    f"{bound:.1f} s")

    async def crash_upstream(self, node, for_s):
        async with node.upstream_lock:
            node.mark_impaired(for_s)
            await node.upstream.stop()
            await asyncio.sleep(for_s)
            await node.upstream.start()

    async def drain_upstream(self, node, _for_s):
        async with node.upstream_lock:
            acknowledged = await node.upstream.start_draining()
            if not acknowledged and not node.is_impaired(time.monotonic()):
                # This heartbeat may coincide with a planned stop of the node;
                # the next one is acknowledged.
                await asyncio.sleep(1)
            await asyncio.sleep(DRAIN_BOUND_S + 0.7)
            await node.upstream.call_node("DELETE")
            await node.upstream.stop()
            await node.upstream.start()

    async def weaken_upstream(self, node, for_s):
        upstream = node.upstream
        share = self.random.choice(("refuse_share", "fail_share",
                                    "lose_share"))
        setattr(upstream, share, self.random.uniform(0.1, 0.7))
        upstream.work_s = self.random.choice((0.02, 0.02, 0.3))
        await asyncio.sleep(for_s)
        setattr(upstream, share, 0.0)
        upstream.work_s = 0.02

    async def weaken_service(self, node, for_s):
        """Makes all upstreams of a service refuse most requests."""
        upstreams = [other.upstream for other in self.fleet.nodes
                     if other.service == node.service]
        for upstream in upstreams:
            upstream.refuse_share = 0.7
        await asyncio.sleep(for_s)
        for upstream in upstreams:
            upstream.refuse_share = 0.0


def check_runs(record, callers):
    """Checks that a POST runs at most once, and never when it was rejected."""
    for request_id, runs in record.runs.items():
        if len(runs) > 1 and any(method == "POST" for _, method in runs):
            record.add_finding(f"{request_id}: non-idempotent request ran "
                               f"{len(runs)} times")
    for request_id, status in callers.rejected:
        runs = record.runs.get(request_id, ())
        if any(method == "POST" for _, method in runs):
            record.add_finding(f"{request_id}: got status {status} although "
                               "it ran")


def check_retries(record):
    """Checks the retries in each window against the retry budget."""
    for service in SERVICES:
        seen = set()
        retries = []
        for when, target, request_id in sorted(record.arrivals):
            if target == service:
                if request_id in seen:
                    retries.append(when)
                seen.add(request_id)
        sent = sorted(when for when, target in record.sent
                      if target == service)

        def count_between(times, begin, end):
            return bisect.bisect_right(times, end) - bisect.bisect_left(
                times, begin)
        for end in retries:
            max_sent = max(
                count_between(sent, end - RETRY_WINDOW_S - back, end - back)
                for back in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            count = count_between(retries, end - RETRY_WINDOW_S, end)
            if count > RETRY_BUDGET_RATIO * max_sent + RETRY_BUDGET_SLACK:
                record.add_finding(
                    f"{service}: {count} retries in {RETRY_WINDOW_S:.0f} s "
                    f"for {max_sent} requests")
                break


def check_recovery(record, callers, calm_since):
    results = [served for sent, _, served in callers.outcomes
               if sent > calm_since]
    share = sum(results) / max(1, len(results))
    if share < MIN_RECOVERED_SHARE:
        record.add_finding(f"only {share:.3f} of {len(results)} requests were "
                           "served after the faults")
    return share


async def wait_ready(fleet):
    async with aiohttp.ClientSession() as session:
        for node in fleet.nodes:
            for _ in range(200):
                try:
                    async with session.get(
                            f"http://{node.readiness}/pollenhall/ready"
                    ) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(0.05)
    await asyncio.sleep(1)


async def run_seed(seed, options, folder):
    fleet = Fleet(seed, options.hosts, folder)
    callers = Callers(fleet)
    versions = VersionMonitor(fleet)
    faults = Faults(fleet, versions, options.planned)
    await fleet.start()
    try:
        await wait_ready(fleet)
        begin = time.monotonic()
        end_faults = begin + options.seconds
        calm_since = end_faults + RECOVERY_BOUND_S * options.recovery
        end = calm_since + options.calm
        await asyncio.gather(
            *(callers.run(node, options.rate / options.hosts, end)
              for node in fleet.nodes),
            versions.run(end),
            *(faults.series(end_faults) for _ in range(options.series)))
    finally:
        await fleet.stop()
    check_runs(fleet.record, callers)
    check_retries(fleet.record)
    share = check_recovery(fleet.record, callers, calm_since)
    served = sum(served for _, _, served in callers.outcomes)
    print(f"seed {seed}: {callers.sequence} requests, "
          f"{served / max(1, len(callers.outcomes)):.3f} served, "
          f"{share:.3f} after the faults, "
          f"{len(fleet.calls_after_restore)} restores with at most "
          f"{max(fleet.calls_after_restore, default=0):.1f} calls a node, "
          f"{len(fleet.record.findings)} findings", flush=True)
    for finding in fleet.record.findings[:20]:
        print(f"  {finding}")
    return not fleet.record.findings


def regression_seeds():
    """Seeds that failed before: one a line, the cause behind a `#`."""
    return [int(line.split("#")[0]) for line in
            SEEDS.read_text().splitlines() if line.split("#")[0].strip()]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append",
                        help="may be given more than once; default: the "
                             "seeds that failed before")
    parser.add_argument("--fresh", type=int, default=0,
                        help="number of seeds to draw")
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=20,
                        help="seconds with faults")
    parser.add_argument("--calm", type=float, default=4,
                        help="seconds that are checked after the recovery")
    parser.add_argument("--recovery", type=float, default=0.5,
                        help="fraction of the recovery bound to wait after "
                             "the faults")
    parser.add_argument("--rate", type=float, default=120,
                        help="requests per second of all callers")
    parser.add_argument("--planned", action="store_true",
                        help="inject planned operations only")
    parser.add_argument("--series", type=int, default=3,
                        help="series of faults that run concurrently")
    parser.add_argument("--logs", type=pathlib.Path,
                        default=pathlib.Path(tempfile.gettempdir()),
                        help="directory for the logs of each seed")
    options = parser.parse_args()
    seeds = options.seed or ([] if options.fresh else regression_seeds())
    seeds += [random.SystemRandom().randrange(1 << 31)
              for _ in range(options.fresh)]
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-",
                                               dir=options.logs))
        if not asyncio.run(run_seed(seed, options, folder)):
            failed += 1
            print(f"  logs: {folder}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
