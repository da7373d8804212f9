"""Stand-ins for the store, upstreams and clients, and a runner of real sidecars.

They speak the users' protocol over loopback and use the standard library only.
Every event goes to one record, with the time since the start in seconds.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get(
    "REVIEW_PROGRAM", ROOT / "target" / "platform" / "pollenhall-sidecar"))
GRACE_S = 6
DRAIN_MS = 2000
HEARTBEAT_S = 1.5


class Record:
    """Events of one run, in order."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        self.events.append((self.now(), kind, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.out.write(f"{self.now():9.3f} {kind} {text}\n")
        self.out.flush()

    def find(self, kind, **match):
        return [(when, fields) for when, name, fields in self.events
                if name == kind and all(fields.get(key) == value
                                        for key, value in match.items())]


class Message:
    """An HTTP message: its first line, header fields and body."""

    def __init__(self, line, fields, body):
        self.line, self.fields, self.body = line, fields, body

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    """Reads a message; raises an error if the connection ends before."""
    line, fields = await read_head(reader)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return Message(line, fields, body)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(line, fields, body)


def write_message(line, fields, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (f"{line}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            .encode("latin-1") + body)


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                       struct.pack("ii", 1, 0))
    writer.transport.abort()


CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError,
                     asyncio.LimitOverrunError, ValueError)


class Server:
    """Accepts connections on one address and serves them one by one."""

    def __init__(self, address, handler):
        self.host, port = address.split(":")
        self.port = int(port)
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 20, backlog=1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handler(reader, writer)
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            # The end of the run cancels what still waits.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self, with_reset=False):
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()
        self.server = None


class Store:
    """The platform's store: items with revisions, watches and transactions."""

    def __init__(self, address, record):
        self.record = record
        self.server = Server(address, self.serve)
        self.items = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        # "ok", "silent" (no response), "busy" (503) or "reset".
        self.mode = "ok"

    async def start(self):
        await self.server.start()

    async def stop(self):
        await self.server.stop()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)
        self.note(key)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.note(key)

    def note(self, key):
        self.history.append((self.revision, key))
        self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def set_mode(self, mode):
        self.mode = mode
        self.record.add("store", mode=mode)
        self.wake_watches()

    def item(self, key):
        if key not in self.items:
            return None
        value, revision = self.items[key]
        return {"key": key, "revision": revision, "created": revision,
                "value": base64.b64encode(value.encode()).decode(),
                "lease": 0}

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            status, body = 503, {}
            if self.mode == "ok":
                status, body = await self.dispatch(request)
            # A watch that waits when the store goes down ends as well.
            if self.mode == "silent":
                await asyncio.sleep(60)
                return
            if self.mode == "reset":
                return reset(writer)
            if self.mode == "busy":
                status, body = 503, {}
            writer.write(write_message(
                f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                json.dumps(body).encode()))
            await writer.drain()

    async def dispatch(self, request):
        method, target = request.line.split(" ")[:2]
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(query).items()}
        if path.endswith("/kv-range"):
            rows = [self.item(key) for key in sorted(self.items)
                    if key.startswith(query["prefix"])]
            return 200, {"items": rows, "truncated": False,
                         "store_revision": self.revision}
        if path.endswith("/kv-key"):
            item = self.item(query["key"])
            return (200, item) if item else (404, {})
        if path.endswith("/kv-watch"):
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]) / 1000)
        if path.endswith("/kv-txn") and method == "POST":
            return self.transact(json.loads(request.body))
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            keys = {key: revision for revision, key in self.history
                    if revision > after and key.startswith(prefix)}
            left = end - time.monotonic()
            if keys or left <= 0 or self.mode != "ok":
                events = [self.item(key) or {"key": key, "revision": revision,
                                             "tombstone": True}
                          for key, revision in keys.items()]
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expect", []):
            if self.items.get(row["key"], ("", 0))[1] != row["revision"]:
                return 412, {"items": []}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]).decode())
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def signature_of(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


def body_of(request_id, path):
    return f"{request_id} {path}\n".encode() * 8


class Upstream:
    """An upstream beside one node. `work_s` is the time that it works."""

    def __init__(self, node, service, record):
        self.node, self.service, self.record = node, service, record
        self.server = Server(node.address("app"), self.serve)
        self.slots = 32
        self.running = 0
        # Milliseconds that its host's time of day is off.
        self.clock_offset_ms = 0
        self.work_s = 0.02
        self.state = "ready"
        # Set once it has deregistered; it may still serve for a while.
        self.leaving = False
        self.heartbeats = None
        self.up = False

    async def start(self, upstream_id):
        """Starts a boot with this id."""
        self.id = upstream_id
        self.born = int(time.time() * 1000) + self.clock_offset_ms
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.running = 0
        await self.server.start()
        self.up = True
        self.record.add("upstream_starts", id=self.id, born=self.born,
                        node=self.node.name)
        self.heartbeats = asyncio.create_task(self.send_heartbeats())

    async def stop(self, crash=False):
        self.up = False
        if self.heartbeats:
            self.heartbeats.cancel()
        await self.server.stop(with_reset=crash)
        self.record.add("upstream_crashes" if crash else "upstream_exits",
                        id=self.id, node=self.node.name)

    async def send_heartbeats(self):
        while True:
            if not await self.send_heartbeat():
                await asyncio.sleep(0.3)
                continue
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat(self, state):
        self.sequence += 1
        return {"service": self.service, "address": self.node.address("app"),
                "zone": self.node.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def send_heartbeat(self):
        return await self.report("PUT", self.heartbeat(self.state))

    async def report(self, method, body=None):
        """Sends a check-in or deregistration; returns whether it is acked."""
        self.leaving = self.leaving or method == "DELETE"
        status = await self.node.call_control(
            method, f"/pollenhall/instances/{self.id}", body)
        if method == "DELETE" or self.state != "ready":
            self.record.add("ack" if status == 200 else "no_ack", id=self.id,
                            call=method, state=self.state, status=status)
        return status == 200

    async def drain(self):
        """Says that it leaves; returns whether that was acknowledged."""
        self.state = "draining"
        return await self.send_heartbeat()

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if not await self.answer(request, writer):
                return

    async def answer(self, request, writer):
        """Answers one request; returns whether the connection is kept."""
        method, path = request.line.split(" ")[:2]
        if path == "/health":
            healthy = self.state == "ready" and not self.leaving
            return await self.send(writer, 200 if healthy else 503,
                                   {"Instance-Id": self.id}, b"")
        request_id = request.get("request-id", "")
        fields = {"Request-Id": request_id}
        if not request_id:
            return await self.send(writer, 400,
                                   fields | {"Not-Executed": "1"}, b"")
        self.record.add("arrives", request=request_id, at=self.id,
                        state=self.state, target=request.get(
                            "target-instance", "-"),
                        caller=request.get("caller-service", "-"))
        if request.get("target-instance", self.id) != self.id:
            return await self.send(writer, 421,
                                   fields | {"Not-Executed": "1"}, b"")
        if self.running >= self.slots:
            return await self.send(writer, 503,
                                   fields | {"Not-Executed": "1"}, b"")
        self.running += 1
        self.record.add("runs", request=request_id, at=self.id, method=method)
        try:
            return await self.run(request, request_id, fields, path, writer)
        finally:
            self.running -= 1

    async def run(self, request, request_id, fields, path, writer):
        await asyncio.sleep(self.work_s)
        body = body_of(request_id, path)
        self.record.add("ran", request=request_id, at=self.id)
        return await self.send(
            writer, 200,
            fields | {"Upstream-Signature": signature_of(request_id, body)},
            body)

    async def send(self, writer, status, fields, body):
        writer.write(write_message(f"HTTP/1.1 {status} X", fields, body))
        await writer.drain()
        return True


class Node:
    """A real sidecar process on a loopback address of its own."""

    PORTS = {"outbound": 0, "inbound": 1, "readiness": 2, "control": 3,
             "peers": 4, "app": 5}

    def __init__(self, fleet, number, zone, service):
        self.fleet, self.number = fleet, number
        self.zone, self.service = zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.host = f"127.{fleet.net}.0.{number}"
        self.process = None
        self.log = fleet.folder / f"{self.name}.log"
        self.settings = fleet.folder / f"{self.name}.conf"

    def address(self, port):
        return f"{self.host}:{self.fleet.base_port + self.PORTS[port]}"

    async def start(self):
        self.settings.write_text(self.settings_text())
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), stdout=out, stderr=out, cwd=str(ROOT),
                env={"POLLENHALL_NODE_FILE": str(self.settings),
                     "PATH": os.environ.get("PATH", ""),
                     "LANG": "C.UTF-8"} | self.fleet.extra_env)
        self.fleet.record.add("node_starts", node=self.name,
                              pid=self.process.pid)
        # The platform's name for the exit is its return code.
        asyncio.ensure_future(self.watch_exit(self.process))

    async def watch_exit(self, process):
        code = await process.wait()
        self.fleet.record.add("node_exits", node=self.name, code=code)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.fleet.record.add("signal", node=self.name,
                                  number=signal.Signals(number).name)
            self.process.send_signal(number)

    async def call_control(self, method, path, body=None):
        """Status of a call by the upstream; 0 without one in a second."""
        status, _ = await call(self.address("control"), method, path, {},
                               json.dumps(body).encode() if body else b"", 1)
        return status

    async def ready(self):
        status, _ = await call(self.address("readiness"), "GET",
                               "/pollenhall/ready", {}, b"", 1)
        return status == 200

    def settings_text(self):
        fleet = self.fleet
        fields = {
            "self.node_name": self.name, "self.role": "sidecar",
            "self.node_class": "sidecar", "self.serves": "sidecar",
            "self.ip": self.host, "self.zone": self.zone,
            "self.region": "r1", "self.limits.cpu_share": "0.4",
            "self.limits.cores": "1", "self.limits.memory_mb": "260",
            "self.limits.max_fds": "4100",
            "self.app_addr": self.address("app"),
            "self.service": self.service,
            "network.listen.inbound": self.address("inbound"),
            "network.listen.outbound": self.address("outbound"),
            "network.listen.readiness": self.address("readiness"),
            "network.listen.control": self.address("control"),
            "network.port_range": f"{fleet.base_port + 4},"
                                  f"{fleet.base_port + 4}",
            "network.seeds": "",
            "platform.discovery": "local", "platform.entry": "local",
            "platform.heartbeat_ms": "1500",
            "platform.platform.address": fleet.store_address(self),
            "platform.platform.form": "kv",
            "terms.bounds.grace_s": str(GRACE_S),
            "terms.bounds.drain_ms": str(DRAIN_MS),
            "terms.bounds.retry_budget_ratio": "0.2",
            "terms.bounds.budget_slack": "47"}
        return "".join(f"{name}={value}\n" for name, value in fields.items())


async def call(address, method, path, fields, body, timeout_s):
    """One exchange on a new connection; status 0 if there is no answer."""
    host, port = address.split(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(write_message(f"{method} {path} HTTP/1.1",
                                   {"Host": address} | fields, body))
        return await read_message(reader)
    try:
        answer = await asyncio.wait_for(exchange(), timeout_s)
        return answer.status, answer
    except (asyncio.TimeoutError, *CONNECTION_ERRORS):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Fleet:
    """The store, the nodes and their settings."""

    def __init__(self, record, plan, extra_env=None):
        """`plan` is a list of (zone, service), one for each node."""
        self.record = record
        self.extra_env = extra_env or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = 10 + os.getpid() % 200
        self.base_port = free_ports(self.net, len(plan))
        self.store = Store(f"127.0.0.1:{self.base_port + 8}", record)
        self.nodes = [Node(self, number + 1, zone, service)
                      for number, (zone, service) in enumerate(plan)]
        self.version = 0

    def store_address(self, _node):
        return f"127.0.0.1:{self.base_port + 8}"

    def configure(self, routes, limits=None):
        """Writes a configuration; `routes` are dictionaries of routes."""
        self.version += 3
        default = {"timeout_ms": 4000, "target_latency_ms": 1000,
                   "attempts": 2, "priority": 1}
        services = sorted({part["service"] for route in routes for part in
                           route.get("traffic_split", [route])})
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "virtual_hosts": [{"host": "shop.example",
                               "paths": [default | route
                                         for route in routes]}],
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 500} for name in services],
            "limits": limits or {"max_header_bytes": 16384,
                                 "max_body_bytes": 1 << 20,
                                 "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000}}))
        self.record.add("configured", version=self.version)

    async def start(self):
        await self.store.start()
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def wait_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if all([await node.ready() for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        await self.store.stop()


def free_ports(net, hosts):
    """First of nine ports that are free on all addresses of a run."""
    base = 21_000 + os.getpid() % 700 * 10
    while True:
        if all(is_free(host, base + offset) for offset in range(9) for host in
               ["127.0.0.1"] + [f"127.{net}.0.{number + 1}"
                                for number in range(hosts)]):
            return base
        base += 10


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
            return True
        except OSError:
            return False


class Client:
    """Sends requests to one node, each attempt with an id of its own."""

    def __init__(self, node, record):
        self.node, self.record = node, record

    async def request(self, request_id, path, method="GET", deadline_ms=4000,
                      body=b"", fields=None, timeout_s=None):
        """Sends one attempt on a new connection; returns its outcome."""
        self.record.add("sent", request=request_id, to=self.node.name,
                        method=method, path=path)
        status, answer = await call(
            self.node.address("outbound"), method, path,
            {"Host": "shop.example", "Request-Id": request_id,
             "Deadline-Ms": str(deadline_ms)} | (fields or {}), body,
            timeout_s or deadline_ms / 1000 + 1)
        signed = answer.get("upstream-signature") if answer else None
        self.record.add("answered", request=request_id, status=status,
                        signed=bool(signed))
        return status, answer


def run_case(main, folder, limit_s=110):
    """Runs `main(record, trouble)`; returns the exit code of the case."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, trouble), limit_s))
    except Exception as error:  # The case could not run.
        record.add("could_not_run", error=repr(error))
        print("could not run:", repr(error))
        return 2
    for line in broken:
        record.add("broken", what=line)
        print("broken:", line)
    if not broken:
        print("held")
    return 1 if broken else 0
