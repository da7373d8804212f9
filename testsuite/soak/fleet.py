"""Sidecars as real processes on loopback, with a fault proxy on each link."""

import asyncio
import pathlib
import shutil
import signal
import time

from proxy import Proxy
from standins import Upstream

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build" / "platform" / "pollenhall-sidecar"
# Delay before the platform restarts a process that has exited.
RESTART_DELAY_S = 0.3
# Delay before a crashed upstream is back.
UPSTREAM_RESTART_DELAY_S = 1.5
STOP_GRACE_S = 6

OUTBOUND, INBOUND, READINESS, CONTROL, PEERS, UPSTREAM = range(6)


class Node:
    """A sidecar, its local upstream, and the proxies on its links."""

    def __init__(self, fleet, number, zone, service):
        self.fleet, self.number = fleet, number
        self.zone, self.service = zone, service
        # Peers connect to the proxy address, which forwards to the process.
        self.proxy_address = f"127.1.0.{number}"
        self.listen_address = f"127.2.0.{number}"
        self.outbound = f"{self.listen_address}:{fleet.port(OUTBOUND)}"
        self.control = f"{self.listen_address}:{fleet.port(CONTROL)}"
        self.readiness = f"{self.listen_address}:{fleet.port(READINESS)}"
        port = fleet.port
        self.inbound_proxy = Proxy(self.proxy_address, port(INBOUND),
                                   self.listen_address, port(INBOUND))
        self.upstream_proxy = Proxy(self.proxy_address, port(UPSTREAM),
                                    self.listen_address, port(UPSTREAM))
        self.store_proxy = Proxy(f"127.3.0.{number}", fleet.store_port,
                                 "127.0.0.1", fleet.store_port)
        self.upstream = Upstream(service, self.listen_address,
                                 port(UPSTREAM), self, fleet.record,
                                 fleet.random)
        self.process = None
        self.keep_running = True
        self.stopping_since = None
        self.impaired_until = 0.0
        self.start_count = 0
        # Held while a fault stops and restarts the upstream.
        self.upstream_lock = asyncio.Lock()
        self.crash_task = None
        # Called when a request crashes the upstream.
        self.on_upstream_crash = None

    def proxies(self):
        return (self.inbound_proxy, self.upstream_proxy, self.store_proxy)

    async def start(self):
        for proxy in self.proxies():
            await proxy.start()
        self.settings = self.fleet.folder / f"node-{self.number}.conf"
        self.settings.write_text(self.settings_text())
        # Nodes run a copy, so that a build during the run does not replace the
        # program.
        self.program = self.fleet.folder / PROGRAM.name
        if not self.program.exists():
            shutil.copy(PROGRAM, self.program)
        await self.upstream.start()
        self.supervisor = asyncio.create_task(self.supervise())

    async def supervise(self):
        log = self.fleet.folder / f"node-{self.number}.log"
        while self.keep_running:
            self.stopping_since = None
            self.start_count += 1
            with log.open("ab") as out:
                self.process = await asyncio.create_subprocess_exec(
                    str(self.program), stdout=out, stderr=out,
                    env={"POLLENHALL_NODE_FILE": str(self.settings)})
            await self.process.wait()
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.fleet.record.add_finding(
                    f"node {self.number} exited unexpectedly with status "
                    f"{self.process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)

    def crash_upstream(self):
        """Ends the upstream as if it had crashed, and starts it again."""
        if self.crash_task and not self.crash_task.done():
            return
        self.fleet.record.crashes.append((time.monotonic(), self.upstream.id))
        # The port refuses connections at once, as after the end of a process.
        self.upstream_proxy.stop_now()
        if self.on_upstream_crash:
            self.on_upstream_crash(self)
        self.crash_task = asyncio.create_task(self.restart_upstream())

    async def restart_upstream(self):
        async with self.upstream_lock:
            await self.upstream.stop()
            await asyncio.sleep(UPSTREAM_RESTART_DELAY_S)
            await self.upstream.start()
            await self.upstream_proxy.start()

    def send_signal(self, signal_number):
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop_gracefully(self):
        """Sends SIGTERM, and SIGKILL when the grace period has passed."""
        process = self.process
        self.stopping_since = time.monotonic()
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S)
        except asyncio.TimeoutError:
            if not self.is_impaired(time.monotonic()):
                self.fleet.record.add_finding(
                    f"node {self.number} did not stop within its grace period")
            process.kill()

    async def stop(self):
        self.keep_running = False
        self.supervisor.cancel()
        await asyncio.gather(self.supervisor, return_exceptions=True)
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        if self.crash_task:
            await self.crash_task
        await self.upstream.stop()
        for proxy in self.proxies():
            await proxy.stop()

    def mark_impaired(self, for_s):
        """Suspends the timing checks of this node during a fault.

        They apply again `fault_impact_s` after the fault has ended.
        """
        self.impaired_until = max(self.impaired_until,
                                  time.monotonic() + for_s
                                  + self.fleet.fault_impact_s)

    def is_impaired(self, now):
        return now < self.impaired_until

    def check_arrival(self, upstream, now, request_id):
        """Reports a request that arrives after the drain bound."""
        since = upstream.draining_since
        if (since is not None and now > since + self.fleet.drain_bound_s
                and not self.is_impaired(now)):
            self.fleet.record.add_finding(
                f"{request_id}: reached {upstream.id} {now - since:.2f} s "
                "after the node acknowledged that it is draining")

    def settings_text(self):
        port = self.fleet.port
        fields = {
            "self.node_name": f"node-{self.number}",
            "self.ip": self.proxy_address,
            "self.zone": self.zone,
            "self.service": self.service,
            "self.limits.memory_mb": 260,
            "self.app_addr": f"{self.proxy_address}:{port(UPSTREAM)}",
            "network.listen.outbound": self.outbound,
            "network.listen.inbound": f"{self.listen_address}:{port(INBOUND)}",
            "network.listen.readiness": self.readiness,
            "network.listen.control": self.control,
            "network.port_range": f"{port(PEERS)},{port(PEERS)}",
            "platform.platform.address":
                f"127.3.0.{self.number}:{self.fleet.store_port}",
            "terms.bounds.retry_budget_ratio": self.fleet.retry_budget_ratio,
            "terms.bounds.budget_slack": self.fleet.retry_budget_slack,
            "terms.bounds.grace_s": STOP_GRACE_S}
        return "".join(f"{name}={value}\n" for name, value in fields.items())
