#!/usr/bin/python3
"""Mutation test of the soak: breaks one guarantee at a time in a copy of the
sources, builds the copy and reports whether the soak detects it. Started
manually, as each mutation takes a build and a few seeds."""

import argparse
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]


@dataclasses.dataclass
class Mutation:
    """A guarantee, and the source change that breaks it."""

    guarantee: str
    path: str
    old: str
    new: str
    # Options of the soak that make a violation most likely to show.
    options: tuple = ()


MUTATIONS = (
    Mutation("a non-idempotent request runs at most once",
             "src/libpollenhall_mesh/attempt_policy.cpp",
             "if (may_have_run_ && !limits_.idempotent)",
             "if (false)"),
    Mutation("a request reported as not run did not run",
             "src/libpollenhall_mesh/attempt_policy.cpp",
             "return may_have_run_ ? next_step::report_unknown\n"
             "                         : next_step::report_not_run;",
             "return next_step::report_not_run;"),
    Mutation("a caller gets its own complete response",
             "src/pollenhall_sidecar/gate.cpp",
             "    bool const failed = result.response.status >= 500;",
             "    static int answers = 0;\n"
             "    if (++answers % 50 == 0)\n"
             "        result.response.body.resize(result.response.body.size() / 2);\n"
             "    bool const failed = result.response.status >= 500;"),
    Mutation("retries are bounded",
             "src/libpollenhall_mesh/attempt_policy.cpp",
             "if (!within_second_limit(counts, fraction) ||\n"
             "        !within_window_limit(counts, fraction, now))",
             "if (false)"),
    Mutation("a draining upstream gets no new calls",
             "platform/documents.cpp",
             '.draining = state == "draining",',
             ".draining = false,",
             ("--planned",)),
    Mutation("a planned stop interrupts no call",
             "src/pollenhall_sidecar/traffic_node.cpp",
             "    if (now < shutdown_->process_end() &&",
             "    if (false && now < shutdown_->process_end() &&",
             ("--planned",)),
    Mutation("a configuration reaches all nodes in time",
             "src/pollenhall_sidecar/control_peers.cpp",
             "    if (!apply_peer_response(peer, result))",
             "    if (result.end != exchange_end::answered)"),
    Mutation("a configuration reaches all nodes after a restore of the store",
             "platform/store_client.cpp",
             "    return store_era(value);",
             "    return store_era();"),
    Mutation("a configuration is never replaced by an older one",
             "src/pollenhall_sidecar/control_node.cpp",
             "    if (decoded->version <= version())",
             "    if (decoded->version == version())"),
)


def build(folder, mutation):
    """Applies a mutation to the copy, builds it and restores the source."""
    path = folder / mutation.path
    text = path.read_text()
    if text.count(mutation.old) != 1:
        sys.exit(f"{mutation.path}: expected exactly one occurrence of: "
                 f"{mutation.old}")
    path.write_text(text.replace(mutation.old, mutation.new))
    subprocess.run(["cmake", "-S", str(folder), "-B", str(folder / "build"),
                    "-G", "Ninja"], check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-C", str(folder / "build"), "--quiet",
                    "pollenhall-sidecar"], check=True)
    path.write_text(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--only",
                        help="run only guarantees whose name contains this")
    options = parser.parse_args()
    missed = 0
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "copy"
        shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns(
            "build*", "target", ".git", "journal"))
        for mutation in MUTATIONS:
            if options.only and options.only not in mutation.guarantee:
                continue
            build(folder, mutation)
            run = subprocess.run(
                [sys.executable, str(folder / "testsuite/soak/soak.py"),
                 "--logs", name, *mutation.options]
                + [part for seed in range(options.seeds)
                   for part in ("--seed", str(seed + 1))],
                capture_output=True, text=True, check=False)
            findings = [line for line in run.stdout.splitlines()
                        if line.startswith("  ")
                        and not line.startswith("  logs")]
            missed += not findings
            print(f"{'caught' if findings else 'MISSED'}: "
                  f"{mutation.guarantee}: "
                  f"{findings[0].strip() if findings else run.stdout[-200:]}",
                  flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
