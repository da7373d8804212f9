"""Consistency of the reports.

Guards against counts that differ between the reports and their formats, the
callers and the upstreams.
"""

import collections
import json
import re
import unittest

from case import DeploymentTestCase
from deployment import make_idempotency_key


class BurnReport(DeploymentTestCase):
    """Compares the burn report with counts of callers and upstreams."""

    @classmethod
    def start_deployment(cls):
        super().start_deployment()
        cls.before = cls.read_kinds()
        cls.counted = collections.Counter()
        nodes = list(cls.deployment.nodes.values())
        for index in range(60):
            node = nodes[index % len(nodes)]
            cls.count(node, "stock/read")
            cls.count(node, "stock/once", key=make_idempotency_key())
            if index % 3 == 0:
                cls.count(node, "front/buy", key=make_idempotency_key())
            if index % 6 == 0:
                # Too short for any response.
                cls.count(node, "stock/slow",
                          headers={"Pollenhall-Timeout-Ms": "1"})

    @classmethod
    def count(cls, node, kind, **arguments):
        _, headers, _ = cls.deployment.call(node, kind, b"x", **arguments)
        cls.counted[kind, headers["pollenhall-outcome"]] += 1
        cls.counted[kind, "offered"] += 1

    @classmethod
    def report(cls, output_format, *words):
        front = cls.deployment.nodes["front-z1"]
        return cls.deployment.ctl(front, "report", *words, "--member",
                                  "testers", "--format", output_format,
                                  check=0)[1]

    @classmethod
    def read_kinds(cls):
        """Reads the six-hour window of each kind from the JSON report."""
        report = json.loads(cls.report("json", "burn"))
        return {f"{kind['service']}/{kind['kind']}": kind["windows"]["6h"]
                for kind in report["kinds"]}

    def test_burn_report_matches_caller_counts(self):
        after = self.read_kinds()
        for kind in ("stock/read", "stock/once", "front/buy", "stock/slow"):
            def increase(name, kind=kind):
                return (after[kind]["ends"][name] -
                        self.before[kind]["ends"][name])

            judged = after[kind]["judged"] - self.before[kind]["judged"]
            self.assertEqual(judged, self.counted[kind, "offered"], kind)
            self.assertEqual(
                increase("in_time") + increase("late") + increase("failed"),
                self.counted[kind, "completed"], kind)
            self.assertEqual(increase("unknown"),
                             self.counted[kind, "unknown"], kind)

    def test_burn_report_matches_member_report(self):
        member_report = json.loads(self.report("json"))
        kinds = self.read_kinds()
        for line in member_report["lines"]:
            ends = kinds[f"{line['service']}/{line['kind']}"]["ends"]
            self.assertEqual(line["completed_in_time"],
                             ends["in_time"] + ends["failed"])
            self.assertEqual(line["completed_late"], ends["late"])
            self.assertEqual(line["unknown"], ends["unknown"])

    def test_reported_runs_match_upstream_counts(self):
        member_report = json.loads(self.report("json"))
        counted = {line["kind"]: line["upstream_runs"]
                   for line in member_report["lines"]}
        self.assertEqual(counted["once"], sum(
            count for key, count in self.runs_by_key().items()
            if key in self.once_keys()))

    def once_keys(self):
        """Returns the keys that upstreams of `stock` ran."""
        return {key.strip('"') for node in self.stock_nodes
                for key in self.deployment.runs(node)["keys"]}

    def test_text_json_and_html_agree(self):
        report = json.loads(self.report("json", "burn"))
        text = self.report("text", "burn")
        page = self.report("html", "burn")
        rows = dict(re.findall(r"<tr><td>(\S+?)<td>[^<]+<td>(\d+)<td>", page))
        for kind in report["kinds"]:
            name = f"{kind['service']}/{kind['kind']}"
            judged = kind["windows"]["6h"]["judged"]
            self.assertEqual(int(rows[name]), judged, name)
            line = next(line for line in text.splitlines()
                        if line.startswith(name + " "))
            self.assertEqual(int(line.split()[2]), judged, name)

    def test_html_report_needs_no_other_file(self):
        page = self.report("html", "burn")
        self.assertNotRegex(page, r"(src|href)=|url\(|@import")

    def test_unknown_members_and_formats_are_refused(self):
        code, text = self.deployment.ctl(self.front, "report", "burn",
                                         "--member", "nobody")
        self.assertEqual(code, 1)
        self.assertIn("nobody", text)
        code, _ = self.deployment.ctl(self.front, "report", "--member",
                                      "testers", "--format", "html")
        self.assertEqual(code, 2)


if __name__ == "__main__":
    unittest.main()
