"""Stand-ins for the platform's store and for upstreams.

Both speak the platform's published protocol. The upstreams record each request
that they receive and run.
"""

import asyncio
import base64
import bisect
import hashlib
import itertools
import json
import time

import aiohttp
from aiohttp import web

# Upper limit of the work on one request, whatever `work_s` is set to.
MAX_WORK_S = 2.0
HEARTBEAT_INTERVAL_S = 0.5
# A heartbeat without a response within this time is unacknowledged.
ACK_TIMEOUT_S = 1.0


async def start_server(handler, host, port):
    """Serves `handler` for every path; returns the runner that stops it."""
    app = web.Application(client_max_size=1 << 24)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True,
                      shutdown_timeout=0.1).start()
    return runner


class Store:
    """Key-value store with revisions, watches, transactions and faults.

    `restore` replaces the content with an older snapshot. Each response
    reports the era, which rises by one with each restore.
    """

    def __init__(self):
        # Key to (value, revision).
        self.items = {}
        # (time, revision, key, value) of each change, in the order of their
        # revisions; the value is None for a removal.
        self.history = []
        self.revision = 1
        self.era = 1
        # Requests before this time are aborted.
        self.away_until = 0.0
        self.compacted = 0
        self.changed = asyncio.Event()
        # "busy" responds with 503, "silent" with nothing. "lossy" executes the
        # call and drops the response. "slow" adds one second.
        self.fault = None
        self.calls = 0

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._append_history(key, value)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append_history(key, None)

    def compact_history(self):
        self.compacted = self.revision
        self._notify_watchers()

    def restore(self, age_s, away_s=0.0):
        """Goes back to the content of `age_s` seconds ago.

        Later changes are lost, also those of the operator and of upstreams,
        and their revisions are reused. Open connections are reset,
        calls in progress are not executed, and for `away_s` all connections
        are reset. Returns the lost keys with their newest values, None for a
        removal.
        """
        now = time.monotonic()
        self.away_until = max(self.away_until, now + away_s)
        kept = bisect.bisect_right(self.history, now - age_s,
                                   key=lambda change: change[0])
        lost = {key: value for _, _, key, value in self.history[kept:]}
        del self.history[kept:]
        self.revision = self.history[-1][1] if self.history else 1
        self.compacted = min(self.compacted, self.revision)
        self.items = {key: (value, revision)
                      for _, revision, key, value in self.history}
        self.items = {key: item for key, item in self.items.items()
                      if item[0] is not None}
        self.era += 1
        self._notify_watchers()
        for connection in list(self.runner.server.connections):
            if connection.transport:
                connection.transport.abort()
        return lost

    async def wait_available(self):
        """Returns once the store is no longer away."""
        while (remaining_s := self.away_until - time.monotonic()) > 0:
            await asyncio.sleep(remaining_s)

    def _append_history(self, key, value):
        self.history.append((time.monotonic(), self.revision, key, value))
        self._notify_watchers()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.runner = await start_server(self.handle, host, port)
        return self.runner

    async def handle(self, request):
        self.calls += 1
        era, fault = self.era, self.fault
        try:
            response = await self.respond(request, fault, era)
        except ConnectionResetError:
            # A proxy has reset the connection, so the response is discarded.
            response = web.Response(status=400)
        if ((fault == "lossy" or self.is_gone(era))
                and request.transport):
            request.transport.abort()
        response.headers["Store-Era"] = str(era)
        return response

    def is_gone(self, era):
        """Whether the store is away or was restored since `era`."""
        return era != self.era or time.monotonic() < self.away_until

    async def respond(self, request, fault, era):
        if fault == "busy":
            return web.json_response({}, status=503)
        if fault == "silent":
            await asyncio.sleep(30)
        if fault == "slow":
            await asyncio.sleep(1)
        body = await request.read()
        if self.is_gone(era):
            return web.json_response({}, status=503)
        call = request.path.rsplit("/", 1)[1]
        query = request.query
        if call == "kv-range":
            rows = [self.encode_item(key) for key in sorted(self.items)
                    if key.startswith(query["prefix"])]
            return web.json_response({"items": rows, "truncated": False,
                                      "store_revision": self.revision})
        if call == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]) / 1000, era)
        if call == "kv-txn":
            return self.transact(json.loads(body))
        return web.json_response({}, status=404)

    def encode_item(self, key):
        if key not in self.items:
            return None
        value, revision = self.items[key]
        return {"key": key, "revision": revision, "created": revision,
                "value": base64.b64encode(value.encode()).decode(),
                "lease": 0}

    async def watch(self, prefix, after, wait_s, era):
        end = time.monotonic() + wait_s
        while True:
            if not self.compacted <= after <= self.revision or (
                    era != self.era):
                return web.json_response({}, status=410)
            keys = {key: revision for _, revision, key, _ in self.history
                    if revision > after and key.startswith(prefix)}
            remaining_s = end - time.monotonic()
            if keys or remaining_s <= 0:
                events = [self.encode_item(key) or
                          {"key": key, "revision": revision,
                           "tombstone": True}
                          for key, revision in keys.items()]
                return web.json_response({"events": events,
                                          "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for item in body["expect"]:
            current = self.items.get(item["key"], ("", 0))[1]
            if current != item["revision"]:
                return web.json_response({"items": []}, status=412)
        for item in body["puts"]:
            self.put(item["key"], base64.b64decode(item["value"]).decode())
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})


class Record:
    """Requests that callers sent and upstreams received, and the findings."""

    def __init__(self):
        # Request id to (time, method) of each execution.
        self.runs = {}
        # (time, upstream id) of each request that crashed its upstream.
        self.crashes = []
        # (time, service, id) of each arrival.
        self.arrivals = []
        # (time, service) of each request that was sent to a service.
        self.sent = []
        self.findings = []

    def add_finding(self, text):
        self.findings.append(text)


def signature_of(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


class Upstream:
    """An instance of one service, registered with its local node."""

    instance_numbers = itertools.count(1)

    def __init__(self, service, host, port, node, record, random):
        self.service = service
        self.host = host
        self.port = port
        self.node = node
        self.record = record
        self.random = random
        self.runner = None
        self.slots = 24
        self.work_s = 0.02
        # Shares of the requests that are refused, fail or lose their response.
        self.refuse_share = 0.0
        self.fail_share = 0.0
        self.lose_share = 0.0
        # Requests with this text in their path crash the upstream after
        # `crash_after_s`; empty for none.
        self.crash_on = ""
        self.crash_after_s = 0.0
        self.draining_since = None
        self.tasks = []

    async def start(self):
        self.id = f"i-{self.service}-{next(self.instance_numbers)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.draining_since = None
        self.running = 0
        self.runner = await start_server(self.handle, self.host, self.port)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0))
        self.tasks = [asyncio.create_task(self.run_heartbeats())]

    async def stop(self):
        """Stops without draining, as in a crash."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.runner:
            runner, self.runner = self.runner, None
            for connection in list(runner.server.connections):
                if connection.transport:
                    connection.transport.abort()
            await runner.cleanup()
            await self.session.close()

    async def run_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self):
        """Sends one heartbeat; returns whether the node acknowledged it."""
        self.sequence += 1
        body = {"service": self.service,
                # The node connects to the upstream through a proxy.
                "address": f"{self.node.proxy_address}:{self.port}",
                "zone": self.node.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}
        return await self.call_node("PUT", json=body)

    async def call_node(self, method, **more):
        url = f"http://{self.node.control}/pollenhall/instances/{self.id}"
        try:
            async with self.session.request(
                    method, url, timeout=aiohttp.ClientTimeout(ACK_TIMEOUT_S),
                    **more) as response:
                await response.read()
                return response.status // 100 == 2
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False
        except RuntimeError:
            # The session is closed because the upstream has stopped.
            return False

    async def start_draining(self):
        """Announces draining; returns whether the node acknowledged it."""
        self.state = "draining"
        acknowledged = await self.send_heartbeat()
        if acknowledged:
            self.draining_since = time.monotonic()
        return acknowledged

    async def handle(self, request):
        now = time.monotonic()
        body = await request.read()
        if request.path == "/health":
            return web.Response(status=200 if self.state == "ready" else 503,
                                headers={"Instance-Id": self.id})
        request_id = request.headers.get("Request-Id")
        echo = {"Request-Id": request_id or ""}
        if not request_id:
            return web.Response(status=400, headers={"Not-Executed": "1"})
        if request.headers.get("Target-Instance", self.id) != self.id:
            return web.Response(status=421,
                                headers=echo | {"Not-Executed": "1"})
        self.record.arrivals.append((now, self.service, request_id))
        self.node.check_arrival(self, now, request_id)
        if not request.path.startswith(f"/{self.service}/"):
            self.record.add_finding(
                f"{request_id}: {request.path} reached an upstream of "
                f"{self.service}")
        if (self.running >= self.slots
                or self.random.random() < self.refuse_share):
            return web.Response(status=503,
                                headers=echo | {"Not-Executed": "1"})
        self.record.runs.setdefault(request_id, []).append(
            (now, request.method))
        self.running += 1
        try:
            return await self.run(request, request_id, body, echo)
        finally:
            self.running -= 1

    async def run(self, request, request_id, body, echo):
        if self.crash_on and self.crash_on in request.path:
            await asyncio.sleep(self.crash_after_s)
            self.node.crash_upstream()
            # The crash ends the connection, so there is no response.
            await asyncio.sleep(MAX_WORK_S)
        await asyncio.sleep(min(self.work_s, MAX_WORK_S))
        remaining_ms = int(request.headers["Deadline-Ms"])
        for number in range(int(request.query.get("calls", 0))):
            if not await self.call_leaf(
                    f"{request_id}.{number}", remaining_ms,
                    request.query.get("leaf_path", "/leaf/inner")):
                return web.Response(status=500, headers=echo | {
                    "Upstream-Signature": signature_of(request_id, b"")})
        if self.random.random() < self.lose_share and request.transport:
            request.transport.abort()
        failed = self.random.random() < self.fail_share
        text = b"" if failed else f"{request_id} {request.path}".encode() * 8
        return web.Response(
            status=500 if failed else 200, body=text,
            headers=echo | {"Upstream-Signature":
                            signature_of(request_id, text)})

    async def call_leaf(self, request_id, remaining_ms, path):
        # Nested calls count as sent when the retry budget is checked.
        self.record.sent.append((time.monotonic(), "leaf"))
        try:
            async with self.session.get(
                    f"http://{self.node.outbound}{path}",
                    headers={"Host": "soak.example",
                             "Request-Id": request_id,
                             "Deadline-Ms": str(min(remaining_ms, 700))},
                    timeout=aiohttp.ClientTimeout(2)) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, OSError, RuntimeError,
                asyncio.TimeoutError):
            return False
