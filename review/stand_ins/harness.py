"""Stand-ins for the scripts of the review: platform store, supervisor,
application upstream and client, as the pages of the platform describe them.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit code for a broken rule; Python's own for an error is 1.
BROKEN = 10

# Bounds of the small site files.
DRAIN_MS = 2000
GRACE_S = 6
LOSS_SLACK_MS = 200
TOUCH_MS = 3000
HEARTBEAT_MS = 1500
MEMORY_MB = 260
# Time until the platform starts a process again that has ended.
RESTART_DELAY_S = 0.5


class CannotRun(Exception):
    """The case cannot be run on this machine; the exit code is 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)


class Message:
    """One HTTP message. `fields` has lower-case names."""

    def __init__(self, first_line, fields, body):
        self.first_line, self.fields, self.body = first_line, fields, body

    @property
    def status(self):
        return int(self.first_line.split()[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_message(reader):
    first_line, fields = await read_head(reader)
    return Message(first_line, fields, await read_body(reader, fields))


def format_message(first_line, fields, body=b"", length=True):
    head = first_line + "\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


async def call_once(address, first_line, fields=None, body=b"",
                    timeout_s=1.0):
    """Sends one request on a new connection; returns the response or None."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(format_message(
                first_line, {"Host": f"{host}:{port}", **(fields or {}),
                             "Connection": "close"}, body))
            return await read_message(reader)
    except (OSError, EOFError, asyncio.TimeoutError, ValueError,
            asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store. Each machine has its own address of it,
    so that one machine can be cut off."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.cut = set()
        self.servers = []
        # The watch that waits for each machine: when it will be answered.
        self.watch_ends = {}

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)
        self.history.append((self.revision, key))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append((self.revision, key))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def row(self, key):
        if key not in self.items:
            return {"key": key, "revision": 0, "tombstone": True}
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": 0}

    async def listen(self, host, port, machine):
        server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, machine), host, port)
        self.servers.append(server)

    async def serve(self, reader, writer, machine):
        try:
            while True:
                request = await read_message(reader)
                await self.wait_while_cut(machine, reader)
                status, body = await self.handle(request, machine)
                await self.wait_while_cut(machine, reader)
                writer.write(format_message(
                    f"HTTP/1.1 {status} X",
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode()))
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def wait_while_cut(self, machine, reader):
        """Nothing gets through a cut. What is held up arrives after it, unless
        the process that sent it has ended."""
        while machine in self.cut:
            await asyncio.sleep(0.02)
            if reader.at_eof():
                raise EOFError

    async def handle(self, request, machine):
        method, target, _ = request.first_line.split()
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path.endswith("/kv-range"):
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.row(k) for k in keys],
                         "truncated": False, "store_revision": self.revision}
        if path.endswith("/kv-watch"):
            return 200, await self.watch(query, machine)
        if path.endswith("/kv-txn"):
            return self.transact(json.loads(request.body))
        return 404, {}

    async def watch(self, query, machine):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        self.watch_ends[machine] = end
        while True:
            keys = {k for revision, k in self.history
                    if revision > after and k.startswith(query["prefix"])}
            left = end - time.monotonic()
            if keys or left <= 0:
                events = []
                for key in sorted(keys):
                    row = self.row(key)
                    if row.get("tombstone"):
                        row["revision"] = max(
                            r for r, k in self.history if k == key)
                    events.append(row)
                return {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body["expect"]:
            current = self.items.get(row["key"], (b"", 0))[1]
            if current != row["revision"]:
                return 412, {"items": [self.row(r["key"])
                                       for r in body["expect"]]}
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in body["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}


class Upstream:
    """An application upstream. The query of a request says what its run does:
    `do=w2000,cHOST/PATH,w10` works 2,000 ms, makes a call through the node of
    its machine and works 10 ms."""

    def __init__(self, machine):
        self.machine, self.fleet = machine, machine.fleet
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        # The runs that began here: (time, request id).
        self.runs = []
        self.server = self.beats = None

    async def start(self):
        host, port = self.machine.app_address
        self.server = await asyncio.start_server(self.serve, host, port,
                                                 limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_regularly())

    def note(self, text):
        self.fleet.record.add(f"upstream {self.machine.name}: {text}")

    def heartbeat(self):
        """The body of the next check-in."""
        self.sequence += 1
        host, port = self.machine.app_address
        return {"service": self.machine.service, "address": f"{host}:{port}",
                "zone": self.machine.zone, "version": "v1", "slots": 40,
                "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def send_heartbeat(self, body):
        answer = await call_once(
            self.machine.control, f"PUT /pollenhall/instances/{self.id} "
            "HTTP/1.1", {"Content-Type": "application/json"},
            json.dumps(body).encode())
        return answer is not None and 200 <= answer.status < 300

    async def beat_regularly(self):
        while self.state == "ready":
            await self.send_heartbeat(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def leave(self):
        """Deregisters; returns whether the node acknowledged it."""
        self.state = "left"
        self.beats.cancel()
        answer = await call_once(
            self.machine.control,
            f"DELETE /pollenhall/instances/{self.id} HTTP/1.1")
        acknowledged = answer is not None and 200 <= answer.status < 300
        self.note(f"sends DELETE; acknowledged: {acknowledged}")
        return acknowledged

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first_line.split()
                if target == "/health":
                    healthy = self.state == "ready"
                    writer.write(format_message(
                        f"HTTP/1.1 {200 if healthy else 503} X",
                        {"Instance-Id": self.id}))
                    continue
                answer = asyncio.create_task(self.answer(target, request))
                # Dropped when its connection closes.
                gone = asyncio.create_task(reader.read(1))
                await asyncio.wait((answer, gone),
                                   return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    answer.cancel()
                    self.note(f"{request.fields.get('request-id')}: its "
                              "connection closes; the run is dropped")
                    return
                gone.cancel()
                await asyncio.wait((gone,))
                writer.write(answer.result())
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def answer(self, target, request):
        request_id = request.fields.get("request-id", "")
        fields = {"Request-Id": request_id, "Instance-Id": self.id}
        expected = request.fields.get("target-instance", self.id)
        if expected != self.id:
            self.note(f"{request_id}: 421, it expects {expected}")
            return format_message("HTTP/1.1 421 Misdirected Request",
                                  {**fields, "Not-Executed": "1"})
        query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
        self.runs.append((self.fleet.record.now(), request_id))
        self.note(f"{request_id}: runs {request.first_line} "
                  f"Deadline-Ms {request.fields.get('deadline-ms')}")
        deadline_s = int(request.fields.get("deadline-ms", 10000)) / 1000
        status = 200
        try:
            async with asyncio.timeout(deadline_s):
                status = await self.work(query.get("do", "w10"), request_id,
                                         deadline_s)
        except TimeoutError:
            status = 504
        body = f"{self.id} answers {request_id}\n".encode()
        self.note(f"{request_id}: its run ends with {status}")
        return format_message(
            f"HTTP/1.1 {status} X",
            {**fields,
             "Upstream-Signature": hashlib.sha256(body).hexdigest()[:16]},
            body)

    async def work(self, steps, request_id, deadline_s):
        end = time.monotonic() + deadline_s
        for step in steps.split(","):
            if step.startswith("w"):
                await asyncio.sleep(int(step[1:]) / 1000)
                continue
            host, _, path = step[1:].partition("/")
            left_ms = int((end - time.monotonic()) * 1000)
            result = await self.fleet.request(
                self.machine, f"{request_id}.{random.getrandbits(64):016x}",
                host,
                "/" + path.replace("|", "?").replace("~", "="), left_ms)
            if result.status != 200:
                return 500
        return 200

    async def stop(self):
        if self.server:
            self.server.close()
        if self.beats:
            self.beats.cancel()


class Result:
    """What a client saw of one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.sent_at = self.ended_at = 0.0
        self.status = None
        # "answer", "closed" without a whole answer, "refused" connection, or
        # "time limit".
        self.end = ""


class Machine:
    """A `sidecar` machine: an upstream and the node beside it."""

    def __init__(self, fleet, number, zone, service):
        self.fleet, self.number = fleet, number
        self.zone, self.service = zone, service
        self.name = f"m{number}"
        self.ip = f"127.{fleet.net}.0.{number}"
        ports = fleet.ports
        self.inbound = (self.ip, ports[0])
        self.app_address = (self.ip, ports[1])
        self.readiness = (self.ip, ports[2])
        self.outbound = (self.ip, ports[3])
        self.control = (self.ip, ports[4])
        self.store = (f"127.{fleet.net}.1.{number}", ports[5])
        self.upstream = Upstream(self)
        self.process = self.supervisor = None
        self.keep_running = True
        # Exit codes of processes that ended without being told to.
        self.own_ends = []
        self.told_to_end = False
        self.starts = 0

    def settings(self):
        def text(address):
            return f"{address[0]}:{address[1]}"
        first = self.fleet.ports[6]
        fields = {
            "self.node_name": f"sidecar-{self.zone}-{self.number}",
            "self.role": "sidecar", "self.node_class": "sidecar",
            "self.serves": "sidecar", "self.ip": self.ip,
            "self.zone": self.zone, "self.region": "interior",
            "self.counts_as_loss": "false", "self.bootstrap": "true",
            "self.limits.cpu_share": "0.4", "self.limits.cores": "1",
            "self.limits.memory_mb": MEMORY_MB, "self.limits.max_fds": "4100",
            "self.limits.link_mbps": "1000.0", "self.limits.disk_mb": "0",
            "self.app_addr": text(self.app_address),
            "self.service": self.service,
            "network.listen.inbound": text(self.inbound),
            "network.listen.outbound": text(self.outbound),
            "network.listen.readiness": text(self.readiness),
            "network.listen.control": text(self.control),
            "network.port_range": f"{first},{first + 15}",
            "network.seeds": "",
            "platform.discovery": "local", "platform.entry": "local",
            "platform.heartbeat_ms": HEARTBEAT_MS,
            "platform.platform.address": text(self.store),
            "platform.platform.form": "kv",
            "platform.platform.writes_per_s": 400,
            "platform.platform.reads_per_s": 2000,
            "platform.platform.history_s": 20,
            "platform.platform.value_bytes": 1048576,
            "platform.platform.ttl_min_ms": 1000,
            "terms.contracts":
                "base,drain,config,cost,retry,recover,pressure,platform",
            "terms.fault_tolerance.machines": 2,
            "terms.bounds.seed_lag_s": 3, "terms.bounds.reuse_delay_s": 2,
            "terms.bounds.touch_ms": TOUCH_MS, "terms.bounds.ack_ms": 4000,
            "terms.bounds.catch_up_s": 4, "terms.bounds.drain_ms": DRAIN_MS,
            "terms.bounds.grace_s": GRACE_S,
            "terms.bounds.loss_slack_ms": LOSS_SLACK_MS,
            "terms.bounds.config_apply_ms": 2000,
            "terms.bounds.rollback_slack_ms": 250,
            "terms.bounds.max_stretch_ms": 5000,
            "terms.bounds.retry_budget_ratio": 0.2,
            "terms.bounds.budget_window_s": 10,
            "terms.bounds.budget_slack": 47,
            "terms.bounds.recovery_s": 15}
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def start(self):
        folder = self.fleet.folder
        self.settings_file = folder / f"{self.name}.conf"
        self.settings_file.write_text(self.settings())
        await self.fleet.store.listen(*self.store, self)
        self.supervisor = asyncio.create_task(self.supervise())
        await self.upstream.start()

    async def supervise(self):
        """Starts the process, and starts it again after it has ended."""
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["POLLENHALL_NODE_FILE"] = str(self.settings_file)
        while self.keep_running:
            self.told_to_end = False
            self.starts += 1
            with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.fleet.command, cwd=ROOT, env=environment,
                    stdout=log, stderr=log)
            self.fleet.record.add(f"node {self.name}: process starts")
            code = await self.process.wait()
            self.fleet.record.add(
                f"node {self.name}: process ends with {code}"
                + ("" if self.told_to_end else ", by itself"))
            if not self.told_to_end:
                self.own_ends.append(code)
            if self.keep_running:
                await asyncio.sleep(RESTART_DELAY_S)

    async def ready(self):
        answer = await call_once(self.readiness,
                                 "GET /pollenhall/ready HTTP/1.1")
        return answer is not None and answer.status == 200

    def send_signal(self, number):
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.told_to_end = True
        self.fleet.record.add(
            f"node {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def resident_mb(self):
        """Resident memory of the process in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def enforce_memory_limit(self):
        """Kills the process when it exceeds its memory, as the platform
        does; that counts as an end of its own."""
        self.peak_mb = 0
        while True:
            await asyncio.sleep(0.02)
            used = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB and self.process.returncode is None:
                self.fleet.record.add(
                    f"node {self.name}: uses {used:.0f} MB, more than "
                    f"{MEMORY_MB}; the platform kills it")
                self.process.kill()
                await self.process.wait()

    async def terminate(self):
        """SIGTERM, then SIGKILL after the grace."""
        process = self.process
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(process.wait()), GRACE_S)
        except asyncio.TimeoutError:
            self.fleet.record.add(f"node {self.name}: gets SIGKILL")
            process.kill()

    async def stop(self):
        self.keep_running = False
        self.told_to_end = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.supervisor:
            self.supervisor.cancel()
        await self.upstream.stop()


class Fleet:
    """A small deployment. `layout` is a list of (zone, service)."""

    def __init__(self, folder, layout, routes):
        self.record = Record(pathlib.Path(folder))
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["sidecar"]
        self.command = role["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.routes = routes
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.ports = self.choose_addresses(len(layout))
        self.store = Store(self.record)
        self.machines = [Machine(self, number + 1, zone, service)
                         for number, (zone, service) in enumerate(layout)]
        self.last_id = random.getrandbits(40)

    @staticmethod
    def choose_addresses(count):
        for _ in range(50):
            net = random.randrange(20, 250)
            first = random.randrange(12000, 30000)
            ports = [first + i for i in range(7)]
            try:
                for number in range(1, count + 1):
                    for port in (*ports, 9464):
                        for part in (0, 1):
                            with socket.socket() as probe:
                                probe.bind((f"127.{net}.{part}.{number}",
                                            port))
                return net, ports
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def configuration(self, version):
        services = sorted({m.service for m in self.machines})
        hosts = [{"host": host, "paths": [route]}
                 for host, route in self.routes.items()]
        return {"version": version,
                "services": [{"name": name, "health_path": "/health",
                              "max_connections": 1348, "protocol": "h1",
                              "tls": False} for name in services],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 67108864,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "virtual_hosts": hosts}

    async def start(self):
        self.store.put("op/config",
                       json.dumps(self.configuration(7)).encode())
        for machine in self.machines:
            await machine.start()
        # Traffic starts seconds after the machines do.
        for _ in range(80):
            await asyncio.sleep(0.1)
            if all([await m.ready() for m in self.machines]) and all(
                    [await self.reaches(m) for m in self.machines]):
                return
        raise CannotRun("the deployment did not become ready")

    async def reaches(self, machine):
        """Whether a request from `machine` reaches each service."""
        for host in self.routes:
            result = await self.request(machine, self.new_id(), host,
                                        self.path_of(host), 2000, quiet=True)
            if result.status != 200:
                return False
        return True

    def path_of(self, host):
        return self.routes[host]["prefix"] + "x"

    def new_id(self):
        self.last_id += 1
        return f"{self.last_id:016x}"

    async def request(self, machine, request_id, host, target, deadline_ms,
                      method="GET", quiet=False, body=b""):
        """One client attempt on a new connection at the node of `machine`."""
        result = Result(request_id)
        result.sent_at = self.record.now()
        writer = None
        if not quiet:
            self.record.add(f"client {machine.name}: {request_id}: sends "
                            f"{method} {host}{target} Deadline-Ms "
                            f"{deadline_ms}, body of {len(body)} bytes")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.6):
                reader, writer = await asyncio.open_connection(
                    *machine.outbound)
                head = {"Host": host, "Request-Id": request_id,
                        "Deadline-Ms": deadline_ms}
                if method != "GET":
                    head["Content-Length"] = len(body)
                writer.write(format_message(f"{method} {target} HTTP/1.1",
                                            head, length=False))
                writer.write(body)
                result.end = "closed"
                message = await read_message(reader)
                result.status, result.end = message.status, "answer"
                result.message = message
        except TimeoutError:
            result.end = "time limit"
        except (OSError, EOFError):
            result.end = result.end or "refused"
        finally:
            if writer:
                writer.close()
        result.ended_at = self.record.now()
        if not quiet:
            self.record.add(f"client {machine.name}: {request_id}: ends with "
                            f"{result.end} {result.status or ''}")
        return result

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
        for server in self.store.servers:
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def idempotent_route(name, prefix, service, timeout_ms=5000):
    return {"name": name, "prefix": prefix, "route_type": "idempotent",
            "timeout_ms": timeout_ms, "target_latency_ms": 1200,
            "priority": 2, "service": service, "attempts": 2}


def unsafe_route(name, prefix, service, timeout_ms=6000):
    return {"name": name, "prefix": prefix, "route_type": "non_idempotent",
            "timeout_ms": timeout_ms, "target_latency_ms": 1500,
            "priority": 0, "service": service, "attempts": 2}


def run_case(folder, layout, routes, case):
    """Runs `case(fleet)`, which returns the breaches, and exits with BROKEN if
    there are any, 0 if there are none, and 2 if it could not run."""
    async def main():
        fleet = Fleet(folder, layout, routes)
        try:
            async with asyncio.timeout(110):
                await fleet.start()
                return fleet, await case(fleet)
        finally:
            await fleet.stop()

    try:
        fleet, breaches = asyncio.run(main())
    except Exception as error:
        # A fault of the script itself must not look like a broken rule.
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    for text in breaches:
        fleet.record.add(f"BROKEN: {text}")
        print(f"broken: {text}")
    if not breaches:
        fleet.record.add("the rule held")
        print("the rule held")
    sys.stdout.flush()
    # Skips the destructors of connections, whose event loop has ended.
    os._exit(BROKEN if breaches else 0)
