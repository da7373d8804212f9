"""Requests that crash the upstreams that run them, on real processes.

Guards against a crashing request that keeps reaching upstreams after it has
crashed three of them: through other nodes, in retries, in the calls of
upstreams, and after nodes have restarted or were cut off.
"""

import asyncio
import http.client
import itertools
import pathlib
import signal
import sys
import tempfile
import threading
import time
import unittest

import aiohttp

from case import DeploymentTestCase
from deployment import ROOT, make_idempotency_key, wait_until

sys.path.insert(0, str(ROOT / "testsuite" / "soak"))

from fleet import RESTART_DELAY_S, UPSTREAM_RESTART_DELAY_S  # noqa: E402
from soak import Fleet, wait_ready  # noqa: E402

SEED = 20261205
# Time in which all nodes must know a crash.
SPREAD_TIME_S = 3.0
# Runs of a crashing request that are allowed later than that after it has
# crashed three upstreams.
MAX_LATE_RUNS = 3
CRASHES_BEFORE_LIMIT = 3
SEND_INTERVAL_S = 0.15
# Pause of a node; shorter than the time until the platform replaces it.
PAUSE_S = 3.0


def late_crashes(crash_times, since=0.0):
    """Returns the crashes long after the third, and after `since`."""
    if len(crash_times) < CRASHES_BEFORE_LIMIT:
        return []
    limit = max(crash_times[CRASHES_BEFORE_LIMIT - 1], since) + SPREAD_TIME_S
    return [at for at in crash_times if at > limit]


class SidecarQuarantine(unittest.IsolatedAsyncioTestCase):
    """Nine sidecars on loopback; one request is sent through all of them."""

    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.fleet = Fleet(SEED, 9, pathlib.Path(self.directory.name))
        await self.fleet.start()
        await wait_ready(self.fleet)
        self.nodes = self.fleet.nodes
        for node in self.nodes:
            node.upstream.crash_on = "poison"
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0))
        self.ids = itertools.count(1)
        self.background = []
        self.store_back = 0.0

    async def asyncTearDown(self):
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.session.close()
        await self.fleet.stop()
        self.directory.cleanup()

    async def call(self, node, path, method="GET"):
        """Returns the status; 0 if there is no response."""
        try:
            async with self.session.request(
                    method, f"http://{node.outbound}{path}",
                    headers={"Host": "soak.example",
                             "Request-Id": f"crash{next(self.ids):08x}",
                             "Deadline-Ms": "1500"},
                    timeout=aiohttp.ClientTimeout(3)) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return 0

    async def send_everywhere(self, path, for_s, method="GET"):
        """Sends one request again and again, through each node in turn."""
        calls = []
        end = time.monotonic() + for_s
        for node in itertools.cycle(self.nodes):
            if time.monotonic() >= end:
                break
            calls.append(asyncio.create_task(self.call(node, path, method)))
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*calls)

    async def send_other_requests(self):
        """Keeps the upstreams busy with requests of changing content."""
        for number in itertools.count():
            node = self.nodes[number % len(self.nodes)]
            service = node.service
            asyncio.create_task(self.call(node, f"/{service}/other{number}"))
            await asyncio.sleep(0.02)

    def run_in_background(self, coroutine):
        self.background.append(asyncio.create_task(coroutine))

    def check_crashes(self, since=0.0):
        times = [at for at, _ in self.fleet.record.crashes]
        self.assertGreater(len(times), 0, "the request crashed no upstream")
        late = late_crashes(times, since)
        offsets = [round(at - times[0], 2) for at in times]
        self.assertLessEqual(len(late), MAX_LATE_RUNS,
                             f"{len(late)} late crashes; all: {offsets}")

    async def restart_all_in_turn(self, signal_number):
        for node in self.nodes:
            count = node.start_count
            node.send_signal(signal_number)
            while node.start_count == count:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.4)

    async def test_crashing_request_is_quarantined_on_all_nodes(self):
        await self.send_everywhere("/leaf/poison", 10)
        self.check_crashes()

    async def test_crashing_request_among_other_requests(self):
        self.run_in_background(self.send_other_requests())
        for node in self.nodes:
            node.upstream.crash_after_s = 0.3
        await self.send_everywhere("/leaf/poison", 10)
        self.check_crashes()

    async def test_crashing_request_that_may_run_once(self):
        await self.send_everywhere("/ledger/poison", 10, "POST")
        self.check_crashes()

    async def test_crashing_call_of_an_upstream(self):
        await self.send_everywhere(
            "/front/parent?calls=1&leaf_path=/leaf/poison", 10)
        self.check_crashes()

    async def test_quarantine_survives_killed_nodes(self):
        self.run_in_background(self.send_everywhere("/leaf/poison", 14))
        await asyncio.sleep(3)
        await self.restart_all_in_turn(signal.SIGKILL)
        await asyncio.gather(*self.background)
        self.check_crashes()

    async def test_quarantine_survives_planned_stops(self):
        self.run_in_background(self.send_everywhere("/leaf/poison", 30))
        await asyncio.sleep(3)
        await self.restart_all_in_turn(signal.SIGTERM)
        await asyncio.gather(*self.background)
        self.check_crashes()

    async def test_quarantine_survives_the_end_of_all_nodes_at_once(self):
        self.run_in_background(self.send_everywhere("/leaf/poison", 20))
        for _ in range(3):
            await asyncio.sleep(4)
            for node in self.nodes:
                node.send_signal(signal.SIGKILL)
        await asyncio.gather(*self.background)
        self.check_crashes()

    async def test_node_is_paused_with_each_crashed_upstream(self):
        def pause(node):
            node.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                PAUSE_S, node.send_signal, signal.SIGCONT)

        for node in self.nodes:
            node.on_upstream_crash = pause
        await self.send_everywhere("/leaf/poison", 14)
        self.check_crashes()

    async def test_store_loses_responses_while_nodes_restart(self):
        self.fleet.store.fault = "lossy"
        self.run_in_background(self.send_everywhere("/leaf/poison", 20))
        await asyncio.sleep(3)
        await self.restart_all_in_turn(signal.SIGKILL)
        self.fleet.store.fault = None
        back = time.monotonic()
        await asyncio.gather(*self.background)
        self.check_crashes(since=back)

    async def test_node_is_killed_with_each_crashed_upstream(self):
        for node in self.nodes:
            node.on_upstream_crash = (
                lambda crashed: crashed.send_signal(signal.SIGKILL))
        await self.send_everywhere("/leaf/poison", 14)
        self.check_crashes()

    async def test_store_is_down_during_the_crashes(self):
        self.fleet.store.fault = "busy"
        self.run_in_background(self.send_everywhere("/leaf/poison", 14))
        await asyncio.sleep(6)
        self.fleet.store.fault = None
        back = time.monotonic()
        await asyncio.gather(*self.background)
        self.check_crashes(since=back)

    async def test_crashed_hosts_are_cut_off_from_the_store(self):
        for node in self.nodes:
            if node.service == "leaf":
                node.store_proxy.set_mode("refuse")
        others = [node for node in self.nodes if node.service != "leaf"]
        self.nodes = others
        await self.send_everywhere("/leaf/poison", 12)
        self.check_crashes()


class DaemonQuarantine(DeploymentTestCase):
    """Four daemons on loopback; one request is sent through all of them."""

    def setUp(self):
        # A request of an earlier test may still be in quarantine.
        self.body = f"poisoned card of {self.id()}".encode()
        self.stop_supervisor = threading.Event()
        self.crash_times = []
        self.on_crash = None
        self.supervisor = threading.Thread(target=self.supervise)
        for node in self.stock_nodes:
            self.start_crashing_upstream(node)
        self.supervisor.start()

    def tearDown(self):
        self.stop_supervisor.set()
        self.supervisor.join()

    def start_crashing_upstream(self, node):
        """Starts the upstream if it is down, and makes it crash on `body`."""
        if not node.upstream.running:
            self.deployment.start_upstream(node, "stock", slots=16,
                                           service_ms=3)

        def is_set():
            try:
                self.deployment.set_behaviour(node,
                                              crash_on=self.body.decode())
                return True
            except OSError:
                return False

        wait_until(is_set, 10, "the upstream takes its behaviour")

    def supervise(self):
        """Restarts crashed upstreams."""
        down = {}
        while not self.stop_supervisor.is_set():
            now = time.monotonic()
            for node in self.stock_nodes:
                if node.upstream.running:
                    continue
                if node.name not in down:
                    down[node.name] = now
                    self.crash_times.append(now)
                    if self.on_crash:
                        self.on_crash(node)
                elif now - down[node.name] >= UPSTREAM_RESTART_DELAY_S:
                    del down[node.name]
                    self.start_crashing_upstream(node)
            time.sleep(0.01)

    def restart_daemon(self, node):
        node.daemon.kill()
        time.sleep(RESTART_DELAY_S)
        self.start_daemon(node)

    def start_daemon(self, node):
        seeds = [other.peer_port for other in self.deployment.nodes.values()
                 if other is not node]
        self.deployment.start_daemon(node, seeds)

    def send_everywhere(self, for_s, kind="stock/read", keyed=False):
        """Sends one request again and again; each time with a new key."""
        end = time.monotonic() + for_s
        for node in itertools.cycle(list(self.deployment.nodes.values())):
            if time.monotonic() >= end:
                return
            key = make_idempotency_key() if keyed else None
            try:
                self.deployment.call(node, kind, self.body, key, timeout=3)
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(SEND_INTERVAL_S)

    def check_crashes(self):
        times = list(self.crash_times)
        self.assertGreater(len(times), 0, "the request crashed no upstream")
        late = late_crashes(times)
        offsets = [round(at - times[0], 2) for at in times]
        self.assertLessEqual(len(late), MAX_LATE_RUNS,
                             f"{len(late)} late crashes; all: {offsets}")

    def test_crashing_request_is_quarantined_on_all_nodes(self):
        self.send_everywhere(10)
        self.check_crashes()

    def test_crashing_request_that_may_run_once(self):
        self.send_everywhere(10, "stock/once", keyed=True)
        self.check_crashes()

    def test_crashing_call_of_an_upstream(self):
        self.send_everywhere(10, "front/buy", keyed=True)
        self.check_crashes()

    def test_quarantine_survives_killed_daemons(self):
        sender = threading.Thread(target=self.send_everywhere, args=(20,))
        sender.start()
        time.sleep(3)
        for node in 2 * list(self.deployment.nodes.values()):
            self.restart_daemon(node)
            time.sleep(1.5)
        sender.join()
        self.check_crashes()

    def test_quarantine_survives_planned_stops(self):
        sender = threading.Thread(target=self.send_everywhere, args=(30,))
        sender.start()
        time.sleep(3)
        for node in list(self.deployment.nodes.values()):
            node.daemon.stop()
            time.sleep(RESTART_DELAY_S)
            self.start_daemon(node)
            time.sleep(1.5)
        sender.join()
        self.check_crashes()

    def test_quarantine_survives_the_end_of_all_daemons_at_once(self):
        sender = threading.Thread(target=self.send_everywhere, args=(24,))
        sender.start()
        for _ in range(3):
            time.sleep(6)
            nodes = list(self.deployment.nodes.values())
            for node in nodes:
                node.daemon.kill()
            time.sleep(RESTART_DELAY_S)
            for node in nodes:
                self.start_daemon(node)
        sender.join()
        self.check_crashes()

    def test_quarantine_survives_a_restored_store_and_all_daemons(self):
        nodes = list(self.deployment.nodes.values())
        self.deployment.set_store_fault(copy=True)
        self.send_everywhere(5)
        self.check_crashes()
        crashes = len(self.crash_times)
        self.deployment.set_store_fault(restore=True)
        time.sleep(12)
        for node in nodes:
            node.daemon.kill()
        time.sleep(RESTART_DELAY_S)
        for node in nodes:
            self.start_daemon(node)
        self.deployment.wait_members()
        self.send_everywhere(6)
        self.assertEqual(len(self.crash_times), crashes)

    def test_daemon_is_killed_with_each_crashed_upstream(self):
        self.on_crash = self.restart_daemon
        self.send_everywhere(14)
        self.check_crashes()


if __name__ == "__main__":
    unittest.main()
