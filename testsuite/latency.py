#!/usr/bin/python3
"""Measures the latency that nodes add to a call.

The same upstream is called directly and through chains of 1, 3 and 9 hops. The
added latency of a chain is its quantile minus the direct p50 of every hop.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

from deployment import BUILD, Deployment

REQUESTS_PER_S = 200
DURATION_S = 10


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


def run_load(entries, kind):
    plan = {"seed": 1, "seconds": DURATION_S, "entries": entries,
            "client_retries": 0, "max_threads": 64,
            "streams": [{"kind": kind, "deadline_ms": 3000,
                         "rates": [[0, REQUESTS_PER_S]]}]}
    result = subprocess.run([BUILD / "src/standins/load_driver"],
                            input=json.dumps(plan), capture_output=True,
                            text=True, check=True)
    rows = json.loads(result.stdout)["requests"]
    # The first second is excluded: connections are being opened.
    return [row[2] for row in rows if row[1] > 1 and row[4]], len(rows)


def write_chain(folder, hops):
    """Declares services s0 ... s(hops-1), each of which calls the next."""
    folder.mkdir()
    (folder / "services").mkdir()
    (folder / "member.ini").write_text("[member]\nname = chain\n")
    for index in range(hops):
        calls = f"calls = s{index + 1}/go\n" if index + 1 < hops else ""
        (folder / "services" / f"s{index}.ini").write_text(
            f"[service]\nname = s{index}\nslots = 64\n[kind go]\n"
            f"deadline = 3s\nretries = 2\n{calls}")


def measure_chain(hops):
    """Returns the latencies of a chain in ms, and the number of requests."""
    with tempfile.TemporaryDirectory() as directory, \
            Deployment(pathlib.Path(directory) / "run") as deployment:
        declarations = pathlib.Path(directory) / "declarations"
        write_chain(declarations, hops)
        deployment.start_store()
        entry = deployment.add_node("entry", "z")
        for index in range(hops):
            node = deployment.add_node(f"n{index}", "z")
            calls = ((f"go=s{index + 1}/go",) if index + 1 < hops else ())
            deployment.start_upstream(node, f"s{index}", 64, 0, calls)
        deployment.wait_members(30)
        deployment.ctl(entry, "apply", declarations, check=0)
        deployment.wait_ready()
        deployment.wait_callable(entry, "s0/go")
        times, sent = run_load([entry.caller_port], "s0/go")
        return times, sent


def measure_direct():
    """Returns the latencies in ms of calls to the upstream without nodes."""
    with tempfile.TemporaryDirectory() as directory, \
            Deployment(directory) as deployment:
        deployment.start_store()
        node = deployment.add_node("n0", "z")
        deployment.start_upstream(node, "s0", 64, 0)
        from deployment import wait_until
        wait_until(lambda: deployment.accepts(node.upstream_port), 10,
                   "the upstream listens")
        return call_directly(node.upstream_port)


def call_directly(port):
    import http.client
    import time
    times = []
    connection = http.client.HTTPConnection("127.0.0.1", port)
    for _ in range(REQUESTS_PER_S * 4):
        started = time.perf_counter()
        connection.request("POST", "/go", body=b"request")
        connection.getresponse().read()
        times.append((time.perf_counter() - started) * 1000)
        time.sleep(1 / REQUESTS_PER_S)
    return times


def main():
    direct = measure_direct()
    base = {"p50": quantile(direct, 0.5), "p99": quantile(direct, 0.99)}
    report = {"rate_per_s": REQUESTS_PER_S, "direct_ms": base, "chains": {}}
    print(f"direct: p50 {base['p50']:.3f} ms, p99 {base['p99']:.3f} ms")
    for hops in (1, 3, 9):
        times, sent = measure_chain(hops)
        p50, p99 = quantile(times, 0.5), quantile(times, 0.99)
        report["chains"][hops] = {
            "sent": sent, "completed": len(times), "p50_ms": p50,
            "p99_ms": p99,
            "added_p50_ms": p50 - hops * base["p50"],
            "added_p99_ms": p99 - hops * base["p50"]}
        print(f"{hops} hops: p50 {p50:.3f} ms, p99 {p99:.3f} ms; added "
              f"p50 {p50 - hops * base['p50']:.3f} ms, "
              f"p99 {p99 - hops * base['p50']:.3f} ms")
    folder = BUILD / "latency"
    folder.mkdir(exist_ok=True)
    (folder / "summary.json").write_text(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
