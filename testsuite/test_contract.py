"""The HTTP contract of callers and upstreams, met by real processes."""

import json
import os
import socket
import threading
import time
import unittest

from case import PlatformCase
from deployment import ADDRESS, http_request, make_key, metric, wait_until


class CallerContract(PlatformCase):
    """What a caller may rely on."""

    def check_echo(self, body, method="POST", headers=None):
        status, names, answer = self.platform.call(
            self.front, "stock/read", body, method=method, headers=headers)
        self.assertEqual(status, 200)
        self.assertEqual(names["pollenhall-outcome"], "completed")
        self.assertEqual(answer, body)

    def test_bodies_arrive_whole(self):
        for body in (b"", b"x", bytes(range(256)) * 40, os.urandom(5_000_000)):
            with self.subTest(size=len(body)):
                self.check_echo(body)

    def test_bodies_are_not_interpreted(self):
        form = b"a=1&b=" + b"2" * 20_000
        part = (b"--x\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n"
                b"1\r\n--x--\r\n")
        for body, kind in ((form, "application/x-www-form-urlencoded"),
                           (part, "multipart/form-data; boundary=x"),
                           (b"\x1f\x8b not gzip", "text/plain")):
            with self.subTest(kind=kind):
                self.check_echo(body, headers={
                    "Content-Type": kind, "Accept-Encoding": "gzip, br",
                    "Range": "bytes=0-3"})

    def test_any_method(self):
        for method in ("POST", "PUT", "PATCH", "DELETE"):
            with self.subTest(method=method):
                self.check_echo(b"body", method)
        status, names, _ = self.platform.call(self.front, "stock/read", None,
                                              method="GET")
        self.assertEqual((status, names["pollenhall-outcome"]),
                         (200, "completed"))

    def check_fault(self, path, status, part, headers=None):
        got, names, body = http_request(self.front.caller_port, "POST", path,
                                        b"x", headers)
        self.assertEqual(got, status, body)
        self.assertEqual(names["content-type"], "application/problem+json")
        self.assertEqual(names["pollenhall-outcome"], "not_run")
        self.assertIn(part, json.loads(body)["detail"])

    def test_bad_input_is_explained(self):
        self.check_fault("/call/stock", 400, "not /call/SERVICE/KIND")
        self.check_fault("/call/nothing/read", 404, "'nothing' is not declared")
        self.check_fault("/call/stock/write", 404, "declares no kind 'write'")
        self.check_fault("/call/stock/once", 400, "Idempotency-Key")
        self.check_fault("/call/stock/once", 400, "version 7",
                         {"Idempotency-Key": "order-17"})
        self.check_fault("/call/stock/read", 400, "1 to 600000",
                         {"Pollenhall-Timeout-Ms": "soon"})

    def test_answers_reach_their_own_callers(self):
        wrong = []

        def caller(number):
            for turn in range(40):
                body = f"{number}/{turn}".encode() * 50
                status, _, answer = self.platform.call(self.front,
                                                       "stock/read", body)
                if status != 200 or answer != body:
                    wrong.append((number, turn, status))

        threads = [threading.Thread(target=caller, args=(number,))
                   for number in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong, [])

    def test_health_tells_live_from_ready(self):
        port = self.front.caller_port
        self.assertEqual(http_request(port, "GET", "/healthz")[0], 200)
        self.assertEqual(http_request(port, "GET", "/readyz")[0], 200)

    def test_malformed_announcements_are_refused(self):
        for body in (b"", b"{}", b'{"service": 3}',
                     b'{"service": "a", "port": 99999, "incarnation": "1"}'):
            with self.subTest(body=body):
                status, _, _ = http_request(self.front.caller_port, "PUT",
                                            "/v1/upstream", body)
                self.assertEqual(status, 400)

    def test_garbage_on_the_peer_port_harms_nothing_else(self):
        before = metric(self.front, "pollenhall_peer_frames_refused_total")
        refused_datagrams = metric(self.front,
                                   "pollenhall_gossip_refused_total")
        address = (ADDRESS, self.front.peer_port)
        for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64,
                        b"\x00\x00\x00\x05hello", b"\x00\x00\x00\x00"):
            with socket.create_connection(address) as stream:
                stream.sendall(garbage)
                stream.settimeout(5)
                try:
                    while stream.recv(4096):
                        pass
                except ConnectionResetError:
                    pass
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                datagram.sendto(garbage, address)
        self.check_echo(b"still serves")
        self.assertEqual(
            metric(self.front, "pollenhall_peer_frames_refused_total"),
            before + 4)
        wait_until(lambda: metric(self.front,
                                  "pollenhall_gossip_refused_total") ==
                   refused_datagrams + 4, 5, "datagrams are counted")


class SurplusConnections(PlatformCase):
    """Connections above the limit are told to come back."""

    @classmethod
    def start_platform(cls):
        cls.platform.caller_connections = 8
        super().start_platform()

    def test_they_are_refused_clearly(self):
        port = self.stock_nodes[0].caller_port
        held = [socket.create_connection((ADDRESS, port)) for _ in range(8)]
        try:
            for item in held:
                item.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                item.recv(4096)
            status, names, body = http_request(port, "GET", "/healthz")
            self.assertEqual(status, 503)
            self.assertEqual(names["retry-after"], "1")
            self.assertIn("connections", json.loads(body)["detail"])
        finally:
            for item in held:
                item.close()
        wait_until(lambda: http_request(port, "GET", "/healthz")[0] == 200,
                   10, "connections are taken again")


class UpstreamContract(PlatformCase):
    """What an upstream may rely on, and what its faults lead to."""

    def test_calls_are_spread_over_all_upstreams(self):
        before = {node.name: self.platform.runs(node)["runs"]
                  for node in self.stock_nodes}
        for _ in range(120):
            self.platform.call(self.front, "stock/read", b"x")
        for node in self.stock_nodes:
            self.assertGreater(self.platform.runs(node)["runs"],
                               before[node.name])

    def test_an_upstream_that_falls_silent_is_left_out(self):
        lost = self.stock_nodes[2]
        lost.upstream.kill()
        for _ in range(60):
            status, _, _ = self.platform.call(self.front, "stock/read", b"x")
            self.assertEqual(status, 200)
        self.platform.start_upstream(lost, "stock", slots=16, service_ms=3)

        def gets_work():
            self.platform.call(self.front, "stock/read", b"x")
            try:
                return self.platform.runs(lost)["runs"] > 0
            except OSError:
                return False

        wait_until(gets_work, 15, "the restarted upstream gets work")

    def test_a_request_that_crashes_upstreams_is_refused_everywhere(self):
        poison = b"the poisoned pattern card"
        for node in self.stock_nodes:
            self.platform.set_behaviour(node, crash_on=poison.decode())
        outcomes = []
        for _ in range(6):
            _, names, _ = self.platform.call(self.front, "stock/read", poison)
            outcomes.append(names.get("pollenhall-reason"))
            time.sleep(0.3)
        crashed = [node for node in self.stock_nodes
                   if not node.upstream.running]
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(outcomes[-1], "quarantined")
        # An entry that never saw the request has heard of it.
        _, names, _ = self.platform.call(self.stock_nodes[0], "stock/read",
                                         poison)
        self.assertEqual(names.get("pollenhall-reason"), "quarantined")
        self.assertEqual(
            self.platform.call(self.front, "stock/read", b"innocent")[0], 200)
        for node in crashed:
            self.platform.start_upstream(node, "stock", slots=16,
                                         service_ms=3)


if __name__ == "__main__":
    unittest.main()
