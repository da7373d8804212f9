"""Guarantees of execution under failures.

Guards against repeated runs of non-repeatable requests, runs of requests that
were reported as not run, and interrupted calls, while processes are killed,
frozen or stopped and callers send requests again.
"""

import json
import signal
import threading
import time
import unittest

from case import DeploymentTestCase
from deployment import make_idempotency_key, wait_until


class AtMostOnce(DeploymentTestCase):
    """A non-repeatable request runs at most once."""

    def test_concurrent_calls_with_one_key_run_once(self):
        for _ in range(20):
            key = make_idempotency_key()
            responses = []

            def send(node):
                responses.append(self.deployment.call(node, "stock/once",
                                                      b"x", key))

            threads = [threading.Thread(target=send, args=(node,))
                       for node in self.deployment.nodes.values()]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual([response[0] for response in responses],
                             [200] * 4)
            self.assertEqual([response[2] for response in responses],
                             [b"x"] * 4)
            self.assertEqual(self.runs_of(key), 1)

    def test_key_reuse_with_another_body_is_refused(self):
        key = make_idempotency_key()
        self.assertEqual(
            self.deployment.call(self.front, "stock/once", b"one", key)[0],
            200)
        status, headers, _ = self.deployment.call(self.front, "stock/once",
                                                  b"two", key)
        self.assertEqual((status, headers["pollenhall-outcome"]),
                         (409, "not_run"))
        self.assertEqual(self.runs_of(key), 1)

    def test_chain_with_one_key_runs_once(self):
        key = make_idempotency_key()
        for node in self.deployment.nodes.values():
            self.assertEqual(
                self.deployment.call(node, "front/buy", b"chain", key)[0], 200)
        self.assertEqual(self.runs_of(key), 1)

    def test_expired_and_future_keys_are_not_run(self):
        now = int(time.time() * 1000)
        _, headers, _ = self.deployment.call(
            self.front, "stock/once", b"x",
            make_idempotency_key(now + 60_000))
        self.assertEqual(headers["pollenhall-outcome"], "not_run")
        key = make_idempotency_key(now - 3_600_000)
        _, headers, _ = self.deployment.call(self.front, "stock/once", b"x",
                                             key)
        self.assertNotEqual(headers["pollenhall-outcome"], "completed")
        self.assertEqual(self.runs_of(key), 0)


class KilledAndFrozen(DeploymentTestCase):
    """Processes that are killed, frozen and restarted."""

    def send_and_count(self, seconds, during):
        """Sends each key twice, from two threads, while `during` runs.

        Returns the outcomes by key.
        """
        stop = threading.Event()
        outcomes = {}

        def sender(entry):
            while not stop.is_set():
                key = make_idempotency_key()
                results = []
                for _ in range(2):
                    try:
                        _, headers, _ = self.deployment.call(
                            entry, "stock/once", b"x", key, timeout=10)
                        results.append(headers.get("pollenhall-outcome"))
                    except OSError:
                        results.append("connection lost")
                outcomes[key] = results

        threads = [threading.Thread(target=sender, args=(entry,))
                   for entry in (self.front, self.stock_nodes[0])]
        for thread in threads:
            thread.start()
        during()
        time.sleep(seconds)
        stop.set()
        for thread in threads:
            thread.join()
        return outcomes

    def check_guarantees(self, outcomes):
        totals = self.runs_by_key()
        for key, results in outcomes.items():
            runs = totals[key]
            self.assertLessEqual(runs, 1, key)
            if "completed" not in results and set(results) == {"not_run"}:
                self.assertEqual(runs, 0, key)

    def test_one_upstream_killed_keeps_guarantees(self):
        affected = self.stock_nodes[1]
        outcomes = self.send_and_count(3, affected.upstream.kill)
        self.deployment.start_upstream(affected, "stock", slots=16,
                                       service_ms=3)
        self.check_guarantees(outcomes)
        completed = sum("completed" in results
                        for results in outcomes.values())
        self.assertGreater(completed, len(outcomes) * 0.9)

    def test_node_restarted_without_state_keeps_guarantees(self):
        affected = self.stock_nodes[2]

        def kill_and_restart():
            time.sleep(0.5)
            affected.daemon.kill()
            time.sleep(0.5)
            self.deployment.start_daemon(affected)

        outcomes = self.send_and_count(8, kill_and_restart)
        self.check_guarantees(outcomes)
        self.deployment.wait_members()

        def all_complete():
            return all(
                self.deployment.call(
                    self.front, "stock/once", b"x",
                    make_idempotency_key())[1]["pollenhall-outcome"] ==
                "completed" for _ in range(20))

        wait_until(all_complete, 20, "calls with new keys complete again")

    def test_frozen_node_keeps_guarantees(self):
        affected = self.stock_nodes[1]

        def freeze():
            affected.daemon.send(signal.SIGSTOP)
            time.sleep(4)
            affected.daemon.send(signal.SIGCONT)

        outcomes = self.send_and_count(3, freeze)
        self.check_guarantees(outcomes)

    def test_reads_complete_while_a_node_is_frozen(self):
        affected = self.stock_nodes[1]
        affected.daemon.send(signal.SIGSTOP)
        try:
            failed = 0
            for _ in range(40):
                status, _, _ = self.deployment.call(self.front, "stock/read",
                                                    b"x")
                failed += status != 200
            self.assertEqual(failed, 0)
        finally:
            affected.daemon.send(signal.SIGCONT)


class PlannedStop(DeploymentTestCase):
    """A planned stop interrupts no call."""

    @classmethod
    def start_deployment(cls):
        cls.deployment.caller_connections = 1_200
        super().start_deployment()

    def offered(self, kind):
        """Counts the calls of a kind that the nodes have accepted."""
        _, text = self.deployment.ctl(self.front, "report", "--member",
                                      "testers", "--format", "json", check=0)
        return sum(line["offered"] for line in json.loads(text)["lines"]
                   if line["kind"] == kind)

    def test_planned_stop_completes_calls_in_flight(self):
        leaving = self.stock_nodes[0]
        for node in self.stock_nodes:
            self.deployment.set_behaviour(node, service_ms=120)
        outcomes = []

        def call():
            try:
                status, headers, _ = self.deployment.call(
                    leaving, "stock/slow", b"x", timeout=90)
                outcomes.append((status, headers["pollenhall-outcome"]))
            except OSError as error:
                outcomes.append((0, str(error)))

        threads = [threading.Thread(target=call) for _ in range(1_000)]
        for thread in threads:
            thread.start()

        def are_all_accepted():
            # A lost call is never counted as accepted; the check below
            # reports it with its error.
            lost = sum(status == 0 for status, _ in list(outcomes))
            return self.offered("slow") + lost >= 1_000

        wait_until(are_all_accepted, 60, "the node has accepted all calls")
        self.assertEqual(leaving.daemon.stop(60), 0)
        for thread in threads:
            thread.join()
        cut = [item for item in outcomes
               if item[0] == 0 or item[1] == "unknown"]
        self.assertEqual(cut, [])
        self.assertEqual(len(outcomes), 1_000)


if __name__ == "__main__":
    unittest.main()
