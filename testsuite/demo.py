#!/usr/bin/python3
"""Demonstration run by `make demo`: real calls on one deployment."""

import json
import sys
import tempfile
import threading
import time

from deployment import (VANDERHOEK, VANDERHOEK_ZONES, Deployment,
                        make_idempotency_key, start_member, wait_until)


class GuaranteeViolation(Exception):
    """A guarantee of the product does not hold."""


def expect(holds, guarantee):
    if not holds:
        raise GuaranteeViolation(guarantee)
    print(f"  ok: {guarantee}")


def show_lookups(deployment, entry):
    print("catalogue lookups")
    completed = 0
    for number in range(30):
        body = f"spindle {number}".encode()
        status, headers, response = deployment.call(
            entry, "catalogue/lookup", body)
        completed += status == 200 and response == body and \
            headers["pollenhall-outcome"] == "completed"
    expect(completed == 30, "30 of 30 lookups got their own whole answer")


def show_orders(deployment, entry, other):
    print("orders")
    key = make_idempotency_key()
    body = b"two crates of brass rolling spindles"
    status, headers, _ = deployment.call(entry, "orders/place", body, key)
    expect(status == 200 and headers["pollenhall-outcome"] == "completed",
           "an order completes through its whole chain")
    status, _, response = deployment.call(other, "orders/place", body, key)
    expect(status == 200 and response == body,
           "the same order sent again through another node is answered")
    runs = sum(deployment.runs(node)["keys"].get(f'"{key}"', 0)
               for node in deployment.nodes.values()
               if node.service == "orders")
    expect(runs == 1, f"the order ran once (runs: {runs})")
    status, headers, response = deployment.call(entry, "orders/place", body)
    expect(status == 400 and headers["pollenhall-outcome"] == "not_run",
           "an order without a key is refused with the reason: "
           + json.loads(response)["detail"])


def show_drain(deployment, entry):
    print("a call while an upstream drains")
    leaving = deployment.nodes["catalogue-kamloops"]
    failures, stop = [], threading.Event()

    def keep_calling():
        while not stop.is_set():
            status, _, _ = deployment.call(entry, "catalogue/lookup", b"x")
            if status != 200:
                failures.append(status)

    caller = threading.Thread(target=keep_calling)
    caller.start()
    deployment.ctl(leaving, "drain", check=0)
    time.sleep(1.0)
    before = deployment.runs(leaving)["runs"]
    time.sleep(1.0)
    after = deployment.runs(leaving)["runs"]
    stop.set()
    caller.join()
    expect(after == before, "a draining upstream receives no new work")
    expect(not failures, "no call fails meanwhile")
    deployment.ctl(leaving, "drain", "--undo", check=0)


def show_member_report(deployment, entry):
    print("the member's board")
    _, text = deployment.ctl(entry, "report", "--member", "vanderhoek",
                             check=0)
    print(text)
    expect("orders/place" in text, "the member reads its board")


def run():
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, \
            Deployment(folder) as deployment:
        deployment.start_store()
        start_member(deployment, VANDERHOEK, VANDERHOEK_ZONES, scale=0.1)
        deployment.wait_members()
        entry = deployment.nodes["orders-kamloops"]
        other = deployment.nodes["warranty-surrey"]
        _, text = deployment.ctl(entry, "apply", "deploy/vanderhoek", check=0)
        print(text.strip())
        deployment.wait_ready()
        deployment.wait_callable(entry, "catalogue/lookup")
        deployment.wait_callable(entry, "orders/place", keyed=True)
        show_lookups(deployment, entry)
        show_orders(deployment, entry, other)
        show_drain(deployment, entry)
        show_member_report(deployment, entry)
        failed = deployment.stop_all()
        expect(not failed, f"all processes stop gracefully {failed or ''}")
    print(f"demo: ok, 12 nodes, 4 services, "
          f"{time.monotonic() - started:.1f} s")


if __name__ == "__main__":
    try:
        run()
    except GuaranteeViolation as violation:
        print(f"demo: failed: {violation}")
        sys.exit(1)
    except (TimeoutError, AssertionError, OSError) as error:
        print(f"demo: failed: {error}")
        sys.exit(1)
