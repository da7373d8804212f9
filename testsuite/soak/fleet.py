"""Nodes as real processes on loopback, with a proxy at each of their doors."""

import asyncio
import pathlib
import shutil
import signal
import time

from proxy import Proxy
from standins import Upstream

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build" / "platform" / "pollenhall-sidecar"
# How soon the platform starts a process again that has ended.
RESTART_S = 0.3
GRACE_S = 6

OUTBOUND, GATE, READINESS, CONTROL, PEERS, UPSTREAM = range(6)


class Node:
    """A sidecar, the upstream beside it and the proxies between them."""

    def __init__(self, fleet, number, zone, service):
        self.fleet, self.number = fleet, number
        self.zone, self.service = zone, service
        # Peers know the front address; the process listens at the back one.
        self.front = f"127.1.0.{number}"
        self.back = f"127.2.0.{number}"
        self.outbound = f"{self.back}:{fleet.port(OUTBOUND)}"
        self.control = f"{self.back}:{fleet.port(CONTROL)}"
        self.readiness = f"{self.back}:{fleet.port(READINESS)}"
        port = fleet.port
        self.gate_proxy = Proxy(self.front, port(GATE), self.back, port(GATE))
        self.upstream_proxy = Proxy(self.front, port(UPSTREAM), self.back,
                                    port(UPSTREAM))
        self.store_proxy = Proxy(f"127.3.0.{number}", fleet.store_port,
                                 "127.0.0.1", fleet.store_port)
        self.upstream = Upstream(service, self.back, port(UPSTREAM), self,
                                 fleet.record, fleet.random)
        self.process = None
        self.keep_running = True
        self.stopping_since = None
        self.harmed_until = 0.0
        self.boots = 0
        # Held while the upstream is being replaced.
        self.replacing = asyncio.Lock()

    def proxies(self):
        return (self.gate_proxy, self.upstream_proxy, self.store_proxy)

    async def start(self):
        for proxy in self.proxies():
            await proxy.start()
        self.settings = self.fleet.folder / f"node-{self.number}.conf"
        self.settings.write_text(self.settings_text())
        # A build during a run must not change the program.
        self.program = self.fleet.folder / PROGRAM.name
        if not self.program.exists():
            shutil.copy(PROGRAM, self.program)
        await self.upstream.start()
        self.watcher = asyncio.create_task(self.run_forever())

    async def run_forever(self):
        log = self.fleet.folder / f"node-{self.number}.log"
        while self.keep_running:
            self.stopping_since = None
            self.boots += 1
            with log.open("ab") as out:
                self.process = await asyncio.create_subprocess_exec(
                    str(self.program), stdout=out, stderr=out,
                    env={"POLLENHALL_NODE_FILE": str(self.settings)})
            await self.process.wait()
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.fleet.record.find(
                    f"node {self.number} ended by itself with "
                    f"{self.process.returncode}")
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop_gracefully(self):
        """SIGTERM, and SIGKILL at the end of the grace time."""
        process = self.process
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            if not self.harmed(time.monotonic()):
                self.fleet.record.find(
                    f"node {self.number} outlived its grace time")
            process.kill()

    async def end(self):
        self.keep_running = False
        self.watcher.cancel()
        await asyncio.gather(self.watcher, return_exceptions=True)
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        await self.upstream.stop()
        for proxy in self.proxies():
            await proxy.stop()

    def harm(self, for_s):
        """Notes that rules with a time don't hold here for a while."""
        self.harmed_until = max(self.harmed_until,
                                time.monotonic() + for_s
                                + self.fleet.touch_s)

    def harmed(self, now):
        return now < self.harmed_until

    def note_arrival(self, upstream, now, request_id):
        left = upstream.left_at
        if (left is not None and now > left + self.fleet.drain_s
                and not self.harmed(now)):
            self.fleet.record.find(
                f"{request_id}: reached {upstream.id} {now - left:.2f} s "
                "after it was acknowledged to be draining")

    def settings_text(self):
        port = self.fleet.port
        fields = {
            "self.node_name": f"node-{self.number}",
            "self.ip": self.front,
            "self.zone": self.zone,
            "self.service": self.service,
            "self.limits.memory_mb": 260,
            "self.app_addr": f"{self.front}:{port(UPSTREAM)}",
            "network.listen.outbound": self.outbound,
            "network.listen.inbound": f"{self.back}:{port(GATE)}",
            "network.listen.readiness": self.readiness,
            "network.listen.control": self.control,
            "network.port_range": f"{port(PEERS)},{port(PEERS)}",
            "platform.platform.address":
                f"127.3.0.{self.number}:{self.fleet.store_port}",
            "terms.bounds.retry_budget_ratio": self.fleet.retry_ratio,
            "terms.bounds.budget_slack": self.fleet.retry_slack,
            "terms.bounds.grace_s": GRACE_S}
        return "".join(f"{name}={value}\n" for name, value in fields.items())
