"""From the id of a failed request to its cause, with the logs of real nodes
only: the three walks of docs/OPERATIONS.md."""

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
# A node writes its log lines out five times a second.
LOG_DELAY_S = 0.6
# Lines of one event that a node writes in a second; the rest is counted.
LINES_A_SECOND = 50
SEED = 20261204


class Walks(unittest.IsolatedAsyncioTestCase):
    """Three hosts, one of each service, and a caller at the first."""

    async def asyncSetUp(self):
        self.holder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.holder.name)
        self.fleet = Fleet(SEED, 9, self.folder)
        # One host a service: what fails there can't be done elsewhere.
        self.fleet.nodes = self.fleet.nodes[::3]
        await self.fleet.start()
        await wait_ready(self.fleet)
        self.front, self.ledger, self.leaf = self.fleet.nodes
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0))

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()
        self.holder.cleanup()

    async def call(self, request_id, method, path, deadline_ms=3000):
        async with self.session.request(
                method, f"http://{self.front.outbound}{path}",
                headers={"Host": "soak.example", "Request-Id": request_id,
                         "Deadline-Ms": str(deadline_ms)}) as answer:
            await answer.read()
            return answer.status

    async def trace(self, request_id):
        await asyncio.sleep(LOG_DELAY_S)
        logs = [str(path) for path in self.folder.glob("node-*.log")]
        run = subprocess.run(
            [POLLENCTL, "trace", request_id, "--format", "json", "--logs",
             *logs], capture_output=True, text=True, check=True)
        return json.loads(run.stdout)

    def logged_ids(self, event):
        """Ids in lines of one event, of all nodes."""
        text = "\n".join(path.read_text()
                         for path in self.folder.glob("node-*.log"))
        return set(re.findall(rf" event={event} (?:.* )?id=(\S+)", text))

    def events(self, walk, name):
        return [line["fields"] for line in walk["lines"]
                if line["fields"].get("event") == name]

    async def test_refused_under_overload(self):
        self.leaf.upstream.work_s = 0.4
        statuses = await asyncio.gather(
            *(self.call(f"over{number:04x}", "GET", "/leaf/x")
              for number in range(150)))
        refused = [f"over{number:04x}" for number, status
                   in enumerate(statuses) if status == 503]
        self.assertTrue(refused, statuses)
        # More may be refused in a second than lines of one event are written.
        await asyncio.sleep(LOG_DELAY_S)
        logged = self.logged_ids("call_not_served") & set(refused)
        self.assertGreaterEqual(len(logged),
                                min(len(refused), LINES_A_SECOND))
        traced = min(logged)
        walk = await self.trace(traced)
        self.assertEqual(walk["failed_call"], traced)
        self.assertIn(walk["reason"], ("overload", "waited_out", "displaced"))
        self.assertEqual(self.events(walk, "call_not_served")[0]["end"],
                         "not_offered")

    async def test_unknown_after_an_upstream_died(self):
        self.ledger.upstream.work_s = 1.0
        call = asyncio.create_task(self.call("dead1", "POST", "/ledger/x"))
        while "dead1" not in self.fleet.record.runs:
            await asyncio.sleep(0.02)
        await self.ledger.upstream.stop()
        self.assertEqual(await call, 502)
        walk = await self.trace("dead1")
        self.assertEqual(walk["reason"], "upstream_broke_off")
        failed = self.events(walk, "upstream_exchange_failed")
        self.assertEqual([line["id"] for line in failed], ["dead1"])

    async def test_refused_because_of_a_drain(self):
        self.assertTrue(await self.ledger.upstream.start_draining())
        self.assertEqual(await self.call("drain1", "POST", "/ledger/x"), 503)
        walk = await self.trace("drain1")
        self.assertIn(walk["reason"], ("upstream_draining", "no_upstream"))
        changed = self.events(walk, "upstream_changed")
        self.assertEqual(changed[-1]["draining"], "1")
        self.assertNotIn("drain1", self.fleet.record.runs)


if __name__ == "__main__":
    unittest.main()
