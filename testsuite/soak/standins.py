"""Stand-ins for the outside of a node: the platform's store, and upstreams
that count what they run. Both speak the platform's published protocol."""

import asyncio
import base64
import hashlib
import itertools
import json
import time

import aiohttp
from aiohttp import web

# Work that an upstream does at most for one request, whatever it is asked.
MOST_WORK_S = 2.0
HEARTBEAT_S = 0.5
# A heartbeat counts as acknowledged if its answer comes within this time.
ACK_S = 1.0


async def start_server(handler, host, port):
    """Serves `handler` for every path; the result is what stops it."""
    app = web.Application(client_max_size=1 << 24)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True,
                      shutdown_timeout=0.1).start()
    return runner


class Store:
    """Keys with revisions, watches and conditional changes, with faults."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = 0
        self.changed = asyncio.Event()
        # "busy" answers 503, "silent" nothing, "lossy" makes changes and
        # drops the answer, "slow" takes a second.
        self.fault = None
        self.calls = 0

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._note(key)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._note(key)

    def forget_history(self):
        self.compacted = self.revision
        self._wake()

    def _note(self, key):
        self.history.append((self.revision, key))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host, port):
        return await start_server(self.handle, host, port)

    async def handle(self, request):
        self.calls += 1
        fault = self.fault
        if fault == "busy":
            return web.json_response({}, status=503)
        if fault == "silent":
            await asyncio.sleep(30)
        if fault == "slow":
            await asyncio.sleep(1)
        try:
            body = await request.read()
        except ConnectionResetError:
            # A proxy has reset the connection; nobody takes an answer.
            return web.Response(status=400)
        answer = await self.answer(request, body)
        if fault == "lossy" and request.transport:
            request.transport.abort()
        return answer

    async def answer(self, request, body):
        call = request.path.rsplit("/", 1)[1]
        query = request.query
        if call == "kv-range":
            rows = [self.row(key) for key in sorted(self.items)
                    if key.startswith(query["prefix"])]
            return web.json_response({"items": rows, "truncated": False,
                                      "store_revision": self.revision})
        if call == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]) / 1000)
        if call == "kv-txn":
            return self.change(json.loads(body))
        return web.json_response({}, status=404)

    def row(self, key):
        if key not in self.items:
            return None
        value, revision = self.items[key]
        return {"key": key, "revision": revision, "created": revision,
                "value": base64.b64encode(value.encode()).decode(),
                "lease": 0}

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if after < self.compacted:
                return web.json_response({}, status=410)
            keys = {key: revision for revision, key in self.history
                    if revision > after and key.startswith(prefix)}
            left = end - time.monotonic()
            if keys or left <= 0:
                events = [self.row(key) or {"key": key, "revision": revision,
                                            "tombstone": True}
                          for key, revision in keys.items()]
                return web.json_response({"events": events,
                                          "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, body):
        for row in body["expect"]:
            known = self.items.get(row["key"], ("", 0))[1]
            if known != row["revision"]:
                return web.json_response({"items": []}, status=412)
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]).decode())
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})


class Record:
    """What the upstreams saw of requests, by request id."""

    def __init__(self):
        self.runs = {}
        # (time, service, id) of each arrival.
        self.arrivals = []
        # (time, service) of each request that was sent on a route to it.
        self.sent = []
        self.findings = []

    def find(self, text):
        self.findings.append(text)


def signature_of(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


class Upstream:
    """A server of one service beside one node."""

    numbers = itertools.count(1)

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
        # Shares of requests that are refused, fail, or lose their answer.
        self.refuse_share = 0.0
        self.fail_share = 0.0
        self.lose_share = 0.0
        self.left_at = None
        self.tasks = []

    async def start(self):
        self.id = f"i-{self.service}-{next(self.numbers)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.left_at = None
        self.running = 0
        self.runner = await start_server(self.handle, self.host, self.port)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0))
        self.tasks = [asyncio.create_task(self.beat_forever())]

    async def stop(self):
        """Ends at once, as in a crash."""
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

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        """One heartbeat; whether it was acknowledged."""
        self.sequence += 1
        body = {"service": self.service,
                # Where the node reaches it, through a proxy.
                "address": f"{self.node.front}:{self.port}",
                "zone": self.node.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}
        return await self.call_node("PUT", json=body)

    async def call_node(self, method, **more):
        url = f"http://{self.node.control}/pollenhall/instances/{self.id}"
        try:
            async with self.session.request(
                    method, url, timeout=aiohttp.ClientTimeout(ACK_S),
                    **more) as answer:
                await answer.read()
                return answer.status // 100 == 2
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False
        except RuntimeError:
            # The session is closed: the upstream has ended meanwhile.
            return False

    async def leave(self):
        """Drains; whether the node acknowledged that."""
        self.state = "draining"
        acknowledged = await self.beat()
        if acknowledged:
            self.left_at = time.monotonic()
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
        self.node.note_arrival(self, now, request_id)
        if not request.path.startswith(f"/{self.service}/"):
            self.record.find(f"{request_id}: {request.path} reached an "
                             f"upstream of {self.service}")
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
        # Lets the callee count calls on this service as sent.
        await asyncio.sleep(min(self.work_s, MOST_WORK_S))
        left_ms = int(request.headers["Deadline-Ms"])
        for number in range(int(request.query.get("calls", 0))):
            if not await self.call_leaf(f"{request_id}.{number}", left_ms):
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

    async def call_leaf(self, request_id, left_ms):
        self.record.sent.append((time.monotonic(), "leaf"))
        try:
            async with self.session.get(
                    f"http://{self.node.outbound}/leaf/inner",
                    headers={"Host": "soak.example",
                             "Request-Id": request_id,
                             "Deadline-Ms": str(min(left_ms, 700))},
                    timeout=aiohttp.ClientTimeout(2)) as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, OSError, RuntimeError,
                asyncio.TimeoutError):
            return False
