"""Tracing a failed request from its id to the cause by the node logs alone.

Runs the three procedures of docs/OPERATIONS.md on real nodes. Guards against
log lines or `pollenctl trace` results that no longer show the cause.
"""

import asyncio
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import aiohttp

from deployment import ROOT

sys.path.insert(0, str(ROOT / "testsuite" / "soak"))

from soak import Fleet, wait_ready  # noqa: E402

POLLENCTL = ROOT / "build" / "src" / "pollenctl" / "pollenctl"
# Nodes flush their log lines five times a second.
LOG_FLUSH_WAIT_S = 0.6
# A node limits the lines per event; it only counts the others.
MAX_EVENT_LINES_PER_S = 50
SEED = 20261204


class FailureTracing(unittest.IsolatedAsyncioTestCase):
    """One host for each of three services, and a caller on the first."""

    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.directory.name)
        self.fleet = Fleet(SEED, 9, self.folder)
        # One host for each service, so that no other upstream can take over a
        # call.
        self.fleet.nodes = self.fleet.nodes[::3]
        await self.fleet.start()
        await wait_ready(self.fleet)
        self.front, self.ledger, self.leaf = self.fleet.nodes
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0))

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()
        self.directory.cleanup()

    async def call(self, request_id, method, path, deadline_ms=3000):
        async with self.session.request(
                method, f"http://{self.front.outbound}{path}",
                headers={"Host": "soak.example", "Request-Id": request_id,
                         "Deadline-Ms": str(deadline_ms)}) as response:
            await response.read()
            return response.status

    async def trace(self, request_id):
        await asyncio.sleep(LOG_FLUSH_WAIT_S)
        logs = [str(path) for path in self.folder.glob("node-*.log")]
        run = subprocess.run(
            [POLLENCTL, "trace", request_id, "--format", "json", "--logs",
             *logs], capture_output=True, text=True, check=True)
        return json.loads(run.stdout)

    def logged_ids(self, event):
        """Returns the ids in the lines of one event in all node logs."""
        text = "\n".join(path.read_text()
                         for path in self.folder.glob("node-*.log"))
        return set(re.findall(rf" event={event} (?:.* )?id=(\S+)", text))

    def events(self, traced, name):
        return [line["fields"] for line in traced["lines"]
                if line["fields"].get("event") == name]

    async def test_overload_refusal_is_traced_to_its_reason(self):
        self.leaf.upstream.work_s = 0.4
        statuses = await asyncio.gather(
            *(self.call(f"over{number:04x}", "GET", "/leaf/x")
              for number in range(150)))
        refused = [f"over{number:04x}" for number, status
                   in enumerate(statuses) if status == 503]
        self.assertTrue(refused, statuses)
        # More calls may be refused per second than lines are logged per event.
        await asyncio.sleep(LOG_FLUSH_WAIT_S)
        logged = self.logged_ids("call_not_served") & set(refused)
        self.assertGreaterEqual(len(logged),
                                min(len(refused), MAX_EVENT_LINES_PER_S))
        request_id = min(logged)
        traced = await self.trace(request_id)
        self.assertEqual(traced["failed_call"], request_id)
        self.assertIn(traced["reason"],
                      ("overload", "waited_out", "displaced"))
        self.assertEqual(self.events(traced, "call_not_served")[0]["end"],
                         "not_offered")

    async def test_upstream_crash_is_traced_to_its_reason(self):
        self.ledger.upstream.work_s = 1.0
        call = asyncio.create_task(self.call("dead1", "POST", "/ledger/x"))
        while "dead1" not in self.fleet.record.runs:
            await asyncio.sleep(0.02)
        await self.ledger.upstream.stop()
        self.assertEqual(await call, 502)
        traced = await self.trace("dead1")
        self.assertEqual(traced["reason"], "upstream_broke_off")
        failed = self.events(traced, "upstream_exchange_failed")
        self.assertEqual([line["id"] for line in failed], ["dead1"])

    async def test_drain_refusal_is_traced_to_its_reason(self):
        self.assertTrue(await self.ledger.upstream.start_draining())
        self.assertEqual(await self.call("drain1", "POST", "/ledger/x"), 503)
        traced = await self.trace("drain1")
        self.assertIn(traced["reason"], ("upstream_draining", "no_upstream"))
        changed = self.events(traced, "upstream_changed")
        self.assertEqual(changed[-1]["draining"], "1")
        self.assertNotIn("drain1", self.fleet.record.runs)


if __name__ == "__main__":
    unittest.main()
