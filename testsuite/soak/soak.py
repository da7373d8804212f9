#!/usr/bin/python3
"""Fault soak: real nodes on loopback under random faults from outside, and
checks of what callers and upstreams see. `soak.py --help`."""

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
# Bounds of the users' pages for their small deployments.
DRAIN_S = 2.0
TOUCH_S = 3.0
APPLY_S = 2.0
# An unstable store stretches the bound of a configuration by this much.
STRETCH_S = 5.0
RETRY_RATIO = 0.2
RETRY_SLACK = 47
WINDOW_S = 10.0
RECOVERY_S = 15.0
# Python's own delays on a busy machine; the bounds hold for the node.
HARNESS_S = 0.3
# Share that is served after the faults; the pages ask for less.
LEAST_RECOVERED = 0.95


class Fleet:
    """All parts of one run."""

    drain_s = DRAIN_S + HARNESS_S
    touch_s = TOUCH_S
    retry_ratio = RETRY_RATIO
    retry_slack = RETRY_SLACK

    def __init__(self, seed, hosts, folder):
        self.random = random.Random(seed)
        self.folder = folder
        self.record = Record()
        self.store = Store()
        # Below the range of outgoing connections.
        self.base_port = 20_000 + self.random.randrange(1_000) * 10
        while not self.ports_free():
            self.base_port += 10
        self.store_port = self.base_port + 9
        self.nodes = [Node(self, number + 1, f"z{number % 3 + 1}",
                           SERVICES[number // 3 % 3])
                      for number in range(hosts)]
        self.version = 0
        self.store_harmed_until = 0.0

    def port(self, offset):
        return self.base_port + offset

    def ports_free(self):
        """Also where another run on this machine uses the same addresses."""
        for host in ("127.0.0.1", "127.1.0.1", "127.2.0.1", "127.3.0.1"):
            for offset in range(10):
                with socket.socket() as probe:
                    try:
                        probe.bind((host, self.base_port + offset))
                    except OSError:
                        return False
        return True

    def configure(self):
        """Writes a configuration with one more route."""
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
        # Unknown versions are told apart by a route that only they have.
        hosts = [{"host": "soak.example", "paths": paths},
                 {"host": f"v{self.version}.example", "paths": paths}]
        self.store.put("op/config", json.dumps({
            "version": self.version, "virtual_hosts": hosts,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 500} for name in SERVICES],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}))

    async def start(self):
        self.runner = await self.store.start("127.0.0.1", self.store_port)
        self.configure()
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def end(self):
        await asyncio.gather(*(node.end() for node in self.nodes))
        await self.runner.cleanup()

    def any_harmed(self, since):
        """Whether any part was harmed at a time or later."""
        return (since < self.store_harmed_until
                or any(node.harmed(since) for node in self.nodes))

    def harm_store(self, for_s):
        self.store_harmed_until = max(self.store_harmed_until,
                                      time.monotonic() + for_s + TOUCH_S)


class Callers:
    """Callers at every node; judges each answer."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.record = fleet.record
        self.sequence = 0
        # (time sent, node, served) of every request.
        self.outcomes = []
        # Time and id of requests that were answered as not run.
        self.not_run = []

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
        request_id = f"{self.sequence:06x}{self.fleet.random.getrandbits(40):010x}"
        service, calls = self.fleet.random.choice(
            (("front", 2), ("front", 2), ("ledger", 1), ("leaf", 0)))
        method = "POST" if service == "ledger" else "GET"
        sent = time.monotonic()
        self.record.sent.append((sent, service))
        boots, stopping = node.boots, node.stopping_since
        outcome = "cut"
        try:
            async with session.request(
                    method,
                    f"http://{node.outbound}/{service}/x?calls={calls}",
                    data=b"b" * 200 if method == "POST" else None,
                    headers={"Host": "soak.example",
                             "Request-Id": request_id,
                             "Deadline-Ms": "4000"},
                    timeout=aiohttp.ClientTimeout(6)) as answer:
                body = await answer.read()
                outcome = self.judge(request_id, service, answer, body)
        except asyncio.TimeoutError:
            outcome = "silence"
        except (aiohttp.ClientError, OSError):
            pass
        if stopping is None or sent - stopping < 1:
            self.outcomes.append((sent, node, outcome == "served"))
        if outcome == "silence" and not node.harmed(time.monotonic()):
            self.record.find(f"{request_id}: no answer 2 s after its time")
        # The pages bind a planned stop only where nothing else goes wrong: a
        # frozen peer holds an answer back beyond the grace time.
        if (outcome == "cut" and node.stopping_since is not None
                and boots == node.boots and not self.fleet.any_harmed(sent)
                and self.reached(request_id)):
            self.record.find(f"{request_id}: cut at a planned stop though an "
                             "upstream had it")

    def reached(self, request_id):
        return request_id in self.record.runs

    def judge(self, request_id, service, answer, body):
        if answer.status in (429, 503, 408, 421):
            self.not_run.append((request_id, answer.status))
        elif answer.status in (400, 401, 403, 404):
            self.record.find(f"{request_id}: a proper request got "
                             f"{answer.status}")
        if answer.status != 200:
            return "failed"
        expected = f"{request_id} /{service}/x".encode() * 8
        if (body != expected or answer.headers.get("Upstream-Signature")
                != signature_of(request_id, expected)):
            self.record.find(f"{request_id}: answer is not its own")
        return "served"


class VersionWatch:
    """Asks each node which configuration is in force there."""

    def __init__(self, fleet):
        self.fleet = fleet
        # Newest version seen at (node, boot).
        self.seen = {}
        self.number = 0

    async def run(self, until):
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < until:
                await asyncio.gather(*(self.ask(session, node)
                                       for node in self.fleet.nodes))
                await asyncio.sleep(0.3)

    async def ask(self, session, node):
        version = self.fleet.version
        boot = node.boots
        if node.stopping_since is not None:
            return
        self.number += 1
        try:
            async with session.get(
                    f"http://{node.outbound}/leaf/v{version}/look",
                    headers={"Host": f"v{version}.example",
                             "Request-Id": f"look{self.number:08x}",
                             "Deadline-Ms": "1000"},
                    timeout=aiohttp.ClientTimeout(3)) as answer:
                reason = (await answer.read()).strip()
                known = answer.status != 404
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return
        # A call that upstreams refused was on a route that is known.
        if reason in (b"no_configuration", b"node_stopping"):
            return
        if node.boots != boot:
            return
        self.fleet.record.sent.append((time.monotonic(), "leaf"))
        if known:
            self.seen[node, boot] = version
        elif (self.seen.get((node, boot)) == version
              and self.fleet.version == version):
            self.fleet.record.find(f"node {node.number} went back behind "
                                   f"version {version}")

    async def wait_in_force(self, version, bound_s):
        """Whether all calm nodes serve a version within a time."""
        end = time.monotonic() + bound_s
        while time.monotonic() < end:
            if all(self.seen.get((node, node.boots), 0) >= version
                   for node in self.fleet.nodes if self.calm(node)):
                return True
            await asyncio.sleep(0.05)
        return False

    def calm(self, node):
        return (node.stopping_since is None
                and not node.harmed(time.monotonic()))


# Part of the seeds that see planned work only, for which more is promised.
PLANNED_ONLY_SHARE = 0.3


class Faults:
    """Draws faults; several series run at once."""

    def __init__(self, fleet, versions, planned_only):
        self.fleet = fleet
        self.versions = versions
        self.random = fleet.random
        self.kinds = (self.stop, self.kill, self.pause, self.reload,
                      self.harm_link, self.harm_link, self.harm_store,
                      self.configure, self.crash_upstream,
                      self.drain_upstream, self.weaken_upstream,
                      self.weaken_service)
        if planned_only or self.random.random() < PLANNED_ONLY_SHARE:
            self.kinds = (self.stop, self.reload, self.configure,
                          self.drain_upstream)

    async def series(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            kind = self.random.choice(self.kinds)
            node = self.random.choice(self.fleet.nodes)
            self.note(kind.__name__, node)
            await kind(node, self.random.uniform(0.3, 3.0))

    def note(self, kind, node):
        with (self.fleet.folder / "faults.log").open("a") as out:
            out.write(f"{time.time():.3f} {kind} {node.number}\n")

    async def stop(self, node, _for_s):
        if node.stopping_since is None:
            await node.stop_gracefully()

    async def kill(self, node, _for_s):
        node.harm(1)
        node.signal(signal.SIGKILL)

    async def pause(self, node, for_s):
        node.harm(for_s)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        node.signal(signal.SIGCONT)
        node.harm(0)

    async def reload(self, node, _for_s):
        node.signal(signal.SIGHUP)

    async def harm_link(self, node, for_s):
        proxy = self.random.choice(node.proxies())
        mode = self.random.choice(proxy.MODES[1:])
        # A link that has gone silent is only noticed after seconds.
        node.harm(for_s + 6)
        proxy.set_mode(mode, self.random.uniform(0.02, 0.5))
        await asyncio.sleep(for_s)
        proxy.set_mode("pass")
        proxy.reset_all()

    async def harm_store(self, _node, for_s):
        store = self.fleet.store
        self.fleet.harm_store(for_s + 1)
        if self.random.random() < 0.2:
            store.forget_history()
            return
        store.fault = self.random.choice(("busy", "silent", "lossy", "slow"))
        await asyncio.sleep(for_s)
        store.fault = None
        self.fleet.harm_store(1)

    async def configure(self, _node, _for_s):
        self.fleet.configure()
        version = self.fleet.version
        calm = time.monotonic() >= self.fleet.store_harmed_until
        bound = APPLY_S + HARNESS_S * 2 + (0 if calm else STRETCH_S)
        if not await self.versions.wait_in_force(version, bound) and (
                calm and time.monotonic() >= self.fleet.store_harmed_until
                and version == self.fleet.version):
            late = [node.number for node in self.fleet.nodes
                    if self.versions.calm(node) and
                    self.versions.seen.get((node, node.boots), 0) < version]
            if late:
                self.fleet.record.find(f"version {version} was not in force "
                                       f"at {late} after {bound:.1f} s")

    async def crash_upstream(self, node, for_s):
        async with node.replacing:
            node.harm(for_s)
            await node.upstream.stop()
            await asyncio.sleep(for_s)
            await node.upstream.start()

    async def drain_upstream(self, node, _for_s):
        async with node.replacing:
            acknowledged = await node.upstream.leave()
            if not acknowledged and not node.harmed(time.monotonic()):
                # One may cross a planned stop; the next goes through.
                await asyncio.sleep(1)
            await asyncio.sleep(DRAIN_S + 0.7)
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
        """All upstreams of a service refuse most requests."""
        upstreams = [other.upstream for other in self.fleet.nodes
                     if other.service == node.service]
        for upstream in upstreams:
            upstream.refuse_share = 0.7
        await asyncio.sleep(for_s)
        for upstream in upstreams:
            upstream.refuse_share = 0.0


def check_runs(record, callers):
    for request_id, runs in record.runs.items():
        if len(runs) > 1 and any(method == "POST" for _, method in runs):
            record.find(f"{request_id}: ran {len(runs)} times")
    for request_id, status in callers.not_run:
        runs = record.runs.get(request_id, ())
        if any(method == "POST" for _, method in runs):
            record.find(f"{request_id}: answered {status} though it ran")


def check_repeats(record):
    """Arrivals beyond the first, in each window, against the allowance."""
    for service in SERVICES:
        seen = set()
        repeats = []
        for when, of, request_id in sorted(record.arrivals):
            if of == service:
                if request_id in seen:
                    repeats.append(when)
                seen.add(request_id)
        sent = sorted(when for when, of in record.sent if of == service)

        def between(times, begin, end):
            return bisect.bisect_right(times, end) - bisect.bisect_left(
                times, begin)
        for end in repeats:
            most = max(between(sent, end - WINDOW_S - back, end - back)
                       for back in (0, WINDOW_S / 2, WINDOW_S))
            count = between(repeats, end - WINDOW_S, end)
            if count > RETRY_RATIO * most + RETRY_SLACK:
                record.find(f"{service}: {count} repeats in {WINDOW_S:.0f} s "
                            f"with {most} requests")
                break


def check_recovery(record, callers, calm_since):
    late = [served for sent, _, served in callers.outcomes
            if sent > calm_since]
    share = sum(late) / max(1, len(late))
    if share < LEAST_RECOVERED:
        record.find(f"{share:.3f} of {len(late)} requests were served after "
                    "the faults")
    return share


async def wait_ready(fleet):
    async with aiohttp.ClientSession() as session:
        for node in fleet.nodes:
            for _ in range(200):
                try:
                    async with session.get(
                            f"http://{node.readiness}/pollenhall/ready") as answer:
                        if answer.status == 200:
                            break
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(0.05)
    await asyncio.sleep(1)


async def play(seed, options, folder):
    fleet = Fleet(seed, options.hosts, folder)
    callers = Callers(fleet)
    versions = VersionWatch(fleet)
    faults = Faults(fleet, versions, options.planned)
    await fleet.start()
    try:
        await wait_ready(fleet)
        begin = time.monotonic()
        end_faults = begin + options.seconds
        calm_since = end_faults + RECOVERY_S * options.recovery
        end = calm_since + options.calm
        await asyncio.gather(
            *(callers.run(node, options.rate / options.hosts, end)
              for node in fleet.nodes),
            versions.run(end),
            *(faults.series(end_faults) for _ in range(options.series)))
    finally:
        await fleet.end()
    check_runs(fleet.record, callers)
    check_repeats(fleet.record)
    share = check_recovery(fleet.record, callers, calm_since)
    served = sum(served for _, _, served in callers.outcomes)
    print(f"seed {seed}: {callers.sequence} requests, "
          f"{served / max(1, len(callers.outcomes)):.3f} served, "
          f"{share:.3f} after the faults, "
          f"{len(fleet.record.findings)} findings", flush=True)
    for finding in fleet.record.findings[:20]:
        print(f"  {finding}")
    return not fleet.record.findings


def regression_seeds():
    """Seeds that failed once, one in a line, with the cause behind a #."""
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
                        help="time with faults")
    parser.add_argument("--calm", type=float, default=4,
                        help="time that is judged after the recovery")
    parser.add_argument("--recovery", type=float, default=0.5,
                        help="part of the users' bound that is waited for")
    parser.add_argument("--rate", type=float, default=120,
                        help="requests a second from outside")
    parser.add_argument("--planned", action="store_true",
                        help="planned work only, for which more is promised")
    parser.add_argument("--series", type=int, default=3,
                        help="series of faults that run at once")
    parser.add_argument("--logs", type=pathlib.Path,
                        default=pathlib.Path(tempfile.gettempdir()),
                        help="folder for the logs of each seed")
    options = parser.parse_args()
    seeds = options.seed or ([] if options.fresh else regression_seeds())
    seeds += [random.SystemRandom().randrange(1 << 31)
              for _ in range(options.fresh)]
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-",
                                               dir=options.logs))
        if not asyncio.run(play(seed, options, folder)):
            failed += 1
            print(f"  logs: {folder}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
