"""Runs a store stand-in, daemons and upstream stand-ins on loopback.

Shared by the whole-program tests, the demo, the benchmark, and the latency and
capacity measurements. All processes are children of the caller and are stopped
by process id.
"""

import base64
import configparser
import hashlib
import http.client
import itertools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
ADDRESS = "127.0.0.1"

# Below the range that the kernel uses for outgoing connections: a port of that
# range could be taken between the check and its use.
PORTS = itertools.cycle(range(12_000, 32_000))
for _ in range(secrets.randbelow(20_000)):
    next(PORTS)


def is_free(port):
    """Whether a port is free for both TCP and UDP."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((ADDRESS, port))
            udp.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns ports that are free for both TCP and UDP."""
    return list(itertools.islice(filter(is_free, PORTS), count))


def hash_operator_key(key):
    """Returns the hash of an operator's key for settings and declarations."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_idempotency_key(issued_ms=None):
    """Returns an idempotency key: a UUID of version 7 (RFC 9562)."""
    issued = int(time.time() * 1000) if issued_ms is None else issued_ms
    low = secrets.randbits(62) | (2 << 62)
    value = (issued << 80) | (7 << 76) | (secrets.randbits(12) << 64) | low
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20],
                     text[20:]))


def http_request(port, method, path, body=None, headers=None, timeout=15):
    """Sends one request; returns status, headers (lower case) and body."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        data = response.read()
        response_headers = {name.lower(): value
                            for name, value in response.getheaders()}
        return response.status, response_headers, data
    finally:
        connection.close()


def wait_until(condition, seconds, description):
    """Polls until `condition()` holds; raises TimeoutError after `seconds`.

    `description` completes "waiting until ..." in the message.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(
        f"timed out after {seconds} s waiting until {description}")


class Process:
    """A child process with its log file."""

    def __init__(self, name, command, log_folder):
        self.name = name
        self.log_path = log_folder / f"{name}.log"
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [str(part) for part in command], stdout=log, stderr=log,
                cwd=ROOT)

    @property
    def running(self):
        return self.child.poll() is None

    def send(self, signal_number):
        if self.running:
            self.child.send_signal(signal_number)

    def stop(self, seconds=40):
        """Sends SIGTERM and returns the exit code of the process."""
        self.send(signal.SIGTERM)
        return self.child.wait(seconds)

    def kill(self):
        if self.running:
            self.child.kill()
        self.child.wait()

    def log(self):
        return self.log_path.read_text(errors="replace")


class Node:
    """A daemon and its local upstream, if it has one."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        (self.caller_port, self.peer_port, self.operator_port,
         self.upstream_port) = ports
        self.daemon = None
        self.upstream = None
        self.service = None


class Deployment:
    """A store, daemons and upstreams on loopback."""

    def __init__(self, folder, policy="full", gossip_period="1s",
                 store_port=None, caller_connections=256):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.policy = policy
        self.gossip_period = gossip_period
        self.caller_connections = caller_connections
        self.store_port = store_port or free_ports(1)[0]
        self.store = None
        self.nodes = {}
        self.platform_key = secrets.token_hex(32)
        self.key_file = self.write_key_file("platform", self.platform_key)

    def write_key_file(self, name, key):
        """Writes a key file in pollenctl's format; returns its path."""
        path = self.folder / (name.replace("/", "-") + ".key")
        path.touch(mode=0o600)
        path.write_text(f"{name} {key}\n")
        return path

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    # Processes.

    def start_store(self):
        self.store = Process(
            "store", [BUILD / "src/standins/store_standin", "--port",
                      self.store_port], self.folder)
        wait_until(lambda: self.accepts(self.store_port), 10,
                   "the store listens")

    def add_node(self, name, zone, seeds=(), ports=None):
        node = Node(name, zone, ports or free_ports(4))
        self.nodes[name] = node
        self.start_daemon(node, seeds)
        return node

    def start_daemon(self, node, seeds=()):
        settings = configparser.ConfigParser()
        settings["node"] = {
            "name": node.name, "zone": node.zone, "address": ADDRESS,
            "caller-port": node.caller_port, "peer-port": node.peer_port,
            "operator-port": node.operator_port, "charts": "charts"}
        settings["store"] = {"address": f"{ADDRESS}:{self.store_port}"}
        settings["peers"] = {"gossip-period": self.gossip_period}
        if seeds:
            settings["peers"]["seeds"] = ", ".join(
                f"{ADDRESS}:{port}" for port in seeds)
        settings["callers"] = {"max-connections": self.caller_connections}
        settings["policy"] = {"mode": self.policy}
        settings["operators"] = {
            "key-hash": hash_operator_key(self.platform_key)}
        path = self.folder / f"{node.name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            settings.write(file)
        node.daemon = Process(
            node.name, [BUILD / "src/pollenhalld/pollenhalld", "--settings",
                        path], self.folder)

    def start_upstream(self, node, service, slots=16, service_ms=5.0,
                       calls=(), max_waiting=None):
        node.service = service
        command = [
            BUILD / "src/standins/upstream_standin", "--port",
            node.upstream_port, "--node-port", node.caller_port, "--service",
            service, "--slots", slots, "--service-ms", service_ms,
            "--max-waiting", slots * 4 if max_waiting is None else max_waiting]
        if calls:
            command += ["--calls", *calls]
        node.upstream = Process(f"{node.name}-upstream", command, self.folder)

    def kill_all(self):
        for node in self.nodes.values():
            for process in (node.upstream, node.daemon):
                if process:
                    process.kill()
        if self.store:
            self.store.kill()

    def stop_all(self):
        """Stops all processes gracefully; returns the names of failed ones."""
        failed = []
        for kind in ("upstream", "daemon"):
            processes = [getattr(node, kind) for node in self.nodes.values()]
            processes = [item for item in processes if item and item.running]
            for process in processes:
                process.send(signal.SIGTERM)
            for process in processes:
                if process.child.wait(60) != 0:
                    failed.append(process.name)
        if self.store and self.store.stop() != 0:
            failed.append("store")
        return failed

    # Requests and status.

    @staticmethod
    def accepts(port):
        with socket.socket() as probe:
            probe.settimeout(1)
            return probe.connect_ex((ADDRESS, port)) == 0

    def set_store_fault(self, **faults):
        http_request(self.store_port, "POST", "/standin/fault",
                     json.dumps(faults))

    def put_in_store(self, values):
        """Writes raw values to the store, as another writer might."""
        writes = [{"requestPut": {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(value).decode()}}
            for key, value in values.items()]
        status, _, _ = http_request(
            self.store_port, "POST", "/v3/kv/txn",
            json.dumps({"compare": [], "success": writes}))
        if status != 200:
            raise AssertionError(f"the store responded with {status}")

    def store_counters(self):
        return json.loads(http_request(self.store_port, "GET",
                                       "/standin/counters")[2])

    def ctl(self, node, *arguments, check=None, key_file=None):
        """Runs pollenctl against a node; returns exit code and output."""
        result = subprocess.run(
            [BUILD / "src/pollenctl/pollenctl", *map(str, arguments),
             "--node", f"{ADDRESS}:{node.operator_port}",
             "--key-file", key_file or self.key_file],
            capture_output=True, text=True, timeout=30, cwd=ROOT)
        if check is not None and result.returncode != check:
            raise AssertionError(
                f"pollenctl {arguments} exited with {result.returncode}: "
                f"{result.stdout}{result.stderr}")
        return result.returncode, result.stdout + result.stderr

    def status(self, node):
        return json.loads(self.ctl(node, "status", "--format", "json",
                                   check=0)[1])

    def call(self, node, kind, body=b"", key=None, headers=None,
             method="POST", timeout=15):
        """Makes a call through a node; returns status, headers and body."""
        headers = dict(headers or {})
        if key:
            headers["Idempotency-Key"] = f'"{key}"'
        return http_request(node.caller_port, method, f"/call/{kind}", body,
                            headers, timeout)

    def runs(self, node):
        """Returns the run counts of a node's local upstream."""
        return json.loads(http_request(node.upstream_port, "GET",
                                       "/standin/runs")[2])

    def set_behaviour(self, node, **behaviour):
        http_request(node.upstream_port, "POST", "/standin/behaviour",
                     json.dumps(behaviour))

    def wait_members(self, seconds=20):
        """Waits until every daemon lists all others as live peers."""
        expected = len([node for node in self.nodes.values()
                        if node.daemon and node.daemon.running])

        def complete():
            for node in self.nodes.values():
                if not node.daemon or not node.daemon.running:
                    continue
                try:
                    live = metric(node, "pollenhall_live_peers")
                except OSError:
                    return False
                if live != expected - 1:
                    return False
            return True

        try:
            wait_until(complete, seconds,
                       f"{expected} nodes list each other as live")
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self.describe_exited()}") from None

    def describe_exited(self):
        """Lists the daemons that have exited, each with the end of its log."""
        exited = [f"{node.name} exited: {node.daemon.log()[-300:]}"
                  for node in self.nodes.values()
                  if node.daemon and not node.daemon.running]
        return "\n".join(exited) or "all daemons are running"

    def wait_ready(self, seconds=20):
        """Waits until every daemon has applied declarations."""
        def ready():
            try:
                return all(
                    http_request(node.caller_port, "GET", "/readyz")[0] == 200
                    for node in self.nodes.values()
                    if node.daemon and node.daemon.running)
            except OSError:
                return False
        wait_until(ready, seconds, "all nodes are ready")

    def wait_callable(self, node, kind, seconds=20, keyed=False):
        """Waits until a call of the kind completes through a node."""
        def completes():
            try:
                status, _, _ = self.call(
                    node, kind, b"probe",
                    key=make_idempotency_key() if keyed else None)
                return status == 200
            except OSError:
                return False
        wait_until(completes, seconds, f"{kind} completes through {node.name}")


def metric(node, name):
    """Reads one metric without labels."""
    text = http_request(node.caller_port, "GET", "/metrics")[2].decode()
    for line in text.splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    raise KeyError(name)


VANDERHOEK = {
    # service: (slots, service time in ms, calls that its kinds make)
    "catalogue": (180, 4.0, ()),
    "orders": (180, 6.0, ("place=catalogue/lookup,printshop/label",)),
    "warranty": (180, 6.0, ("claim=catalogue/lookup",)),
    "printshop": (35, 20.0, ()),
}
VANDERHOEK_ZONES = ("kamloops", "surrey", "nanaimo")
UMBRELLA = {
    "availability": (130, 4.0, ()),
    "deposits": (130, 6.0, ("take=unlocking/release",)),
    "unlocking": (130, 8.0, ()),
    "returns": (30, 20.0, ("record=availability/nearby",)),
}
UMBRELLA_ZONES = ("split-riva", "rijeka-korzo", "pula-arena")


def start_member(deployment, services, zones, scale=1.0):
    """Starts three nodes with upstreams for each service of a member."""
    for service, (slots, service_ms, calls) in services.items():
        for zone in zones:
            node = deployment.add_node(f"{service}-{zone}", zone)
            deployment.start_upstream(node, service,
                                      max(2, int(slots * scale)), service_ms,
                                      calls)
