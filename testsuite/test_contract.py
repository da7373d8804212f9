"""The HTTP contract of callers and upstreams, checked on real processes.

Guards against altered bodies, responses that reach the wrong caller, unclear
errors for invalid input, and calls to upstreams that have failed.
"""

import json
import os
import socket
import threading
import time
import unittest

from case import DeploymentTestCase
from deployment import (ADDRESS, http_request, make_idempotency_key, metric,
                        wait_until)


class CallerContract(DeploymentTestCase):
    """The guarantees for callers."""

    def check_echo(self, body, method="POST", headers=None):
        status, response_headers, response_body = self.deployment.call(
            self.front, "stock/read", body, method=method, headers=headers)
        self.assertEqual(status, 200)
        self.assertEqual(response_headers["pollenhall-outcome"], "completed")
        self.assertEqual(response_body, body)

    def test_bodies_arrive_unchanged(self):
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

    def test_all_methods_are_forwarded(self):
        for method in ("POST", "PUT", "PATCH", "DELETE"):
            with self.subTest(method=method):
                self.check_echo(b"body", method)
        status, headers, _ = self.deployment.call(self.front, "stock/read",
                                                  None, method="GET")
        self.assertEqual((status, headers["pollenhall-outcome"]),
                         (200, "completed"))

    def check_rejected(self, path, status, part, headers=None):
        actual, response_headers, body = http_request(
            self.front.caller_port, "POST", path, b"x", headers)
        self.assertEqual(actual, status, body)
        self.assertEqual(response_headers["content-type"],
                         "application/problem+json")
        self.assertEqual(response_headers["pollenhall-outcome"], "not_run")
        self.assertIn(part, json.loads(body)["detail"])

    def test_invalid_requests_are_rejected_with_a_reason(self):
        self.check_rejected("/call/stock", 400, "not /call/SERVICE/KIND")
        self.check_rejected("/call/nothing/read", 404,
                            "'nothing' is not declared")
        self.check_rejected("/call/stock/write", 404,
                            "declares no kind 'write'")
        self.check_rejected("/call/stock/once", 400, "Idempotency-Key")
        self.check_rejected("/call/stock/once", 400, "version 7",
                            {"Idempotency-Key": "order-17"})
        self.check_rejected("/call/stock/read", 400, "1 to 600000",
                            {"Pollenhall-Timeout-Ms": "soon"})

    def test_concurrent_callers_get_their_own_responses(self):
        failed = []

        def caller(number):
            for turn in range(40):
                body = f"{number}/{turn}".encode() * 50
                status, _, response_body = self.deployment.call(
                    self.front, "stock/read", body)
                if status != 200 or response_body != body:
                    failed.append((number, turn, status))

        threads = [threading.Thread(target=caller, args=(number,))
                   for number in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(failed, [])

    def test_health_endpoints_report_live_and_ready(self):
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

    def test_garbage_on_the_peer_port_is_rejected_and_counted(self):
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
                   refused_datagrams + 4, 5,
                   "the refused datagrams are counted")


class ConnectionLimit(DeploymentTestCase):
    """Connections above the limit are refused with Retry-After."""

    @classmethod
    def start_deployment(cls):
        cls.deployment.caller_connections = 8
        super().start_deployment()

    def test_connections_above_the_limit_get_503(self):
        port = self.stock_nodes[0].caller_port
        connections = [socket.create_connection((ADDRESS, port))
                       for _ in range(8)]
        try:
            for connection in connections:
                connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                connection.recv(4096)
            status, headers, body = http_request(port, "GET", "/healthz")
            self.assertEqual(status, 503)
            self.assertEqual(headers["retry-after"], "1")
            self.assertIn("connections", json.loads(body)["detail"])
        finally:
            for connection in connections:
                connection.close()
        wait_until(lambda: http_request(port, "GET", "/healthz")[0] == 200,
                   10, "connections are accepted again")


class UpstreamContract(DeploymentTestCase):
    """The guarantees for upstreams, and the handling of their faults."""

    def test_calls_are_spread_over_all_upstreams(self):
        before = {node.name: self.deployment.runs(node)["runs"]
                  for node in self.stock_nodes}
        for _ in range(120):
            self.deployment.call(self.front, "stock/read", b"x")
        for node in self.stock_nodes:
            self.assertGreater(self.deployment.runs(node)["runs"],
                               before[node.name])

    def test_killed_upstream_is_bypassed_until_restarted(self):
        killed = self.stock_nodes[2]
        killed.upstream.kill()
        for _ in range(60):
            status, _, _ = self.deployment.call(self.front, "stock/read", b"x")
            self.assertEqual(status, 200)
        self.deployment.start_upstream(killed, "stock", slots=16, service_ms=3)

        def gets_work():
            self.deployment.call(self.front, "stock/read", b"x")
            try:
                return self.deployment.runs(killed)["runs"] > 0
            except OSError:
                return False

        wait_until(gets_work, 15, "the restarted upstream gets work")

    def test_request_that_crashes_upstreams_is_quarantined_on_all_nodes(self):
        crashing_body = b"the poisoned pattern card"
        for node in self.stock_nodes:
            self.deployment.set_behaviour(node,
                                          crash_on=crashing_body.decode())
        outcomes = []
        for _ in range(6):
            _, headers, _ = self.deployment.call(self.front, "stock/read",
                                                 crashing_body)
            outcomes.append(headers.get("pollenhall-reason"))
            time.sleep(0.3)
        crashed = [node for node in self.stock_nodes
                   if not node.upstream.running]
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(outcomes[-1], "quarantined")
        # The quarantine also applies at an entry node that has not routed the
        # request before.
        _, headers, _ = self.deployment.call(
            self.stock_nodes[0], "stock/read", crashing_body)
        self.assertEqual(headers.get("pollenhall-reason"), "quarantined")
        self.assertEqual(
            self.deployment.call(self.front, "stock/read", b"innocent")[0],
            200)
        for node in crashed:
            self.deployment.start_upstream(node, "stock", slots=16,
                                           service_ms=3)


if __name__ == "__main__":
    unittest.main()
