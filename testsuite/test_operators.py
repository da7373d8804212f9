"""Rights of operators, and the explanation of a single request.

Guards against calls that succeed without the required right or key, data of
other members in the responses, and decisions missing from an explanation.
"""

import json
import shutil
import unittest
import uuid

from case import DECLARATIONS, DeploymentTestCase, read_documents
from deployment import hash_operator_key, make_idempotency_key, wait_until

RIGHTS = {"testers/reader": "read", "testers/changer": "change",
          "testers/worker": "operate",
          "others/boss": "read, change, operate"}
KEYS = {name: hash_operator_key(f"key of {name}") for name in RIGHTS}


def declare_operators(folder, member):
    """Adds a member's operators to its declarations."""
    with open(folder / "member.ini", "a", encoding="utf-8") as file:
        for name, rights in RIGHTS.items():
            owner, operator = name.split("/")
            if owner == member:
                file.write(f"\n[operator {operator}]\n"
                           f"key-hash = {hash_operator_key(KEYS[name])}\n"
                           f"rights = {rights}\n")


class OperatorRights(DeploymentTestCase):
    """Makes every call as each operator of two members."""

    @classmethod
    def start_deployment(cls):
        super().start_deployment()
        deployment, front = cls.deployment, cls.deployment.nodes["front-z1"]
        cls.folder = deployment.folder / "testers"
        shutil.copytree(DECLARATIONS, cls.folder)
        declare_operators(cls.folder, "testers")
        others = deployment.folder / "others"
        (others / "services").mkdir(parents=True)
        (others / "member.ini").write_text(
            "[member]\nname = others\n\n[zone z9]\ntrip = 1ms\n")
        (others / "services" / "far.ini").write_text(
            "[service]\nname = far\n\n[kind read]\nimportance = normal\n")
        declare_operators(others, "others")
        for folder in (cls.folder, others):
            deployment.ctl(front, "apply", folder, check=0)

    def calls(self):
        """Returns each call on data of `testers` and the right it requires."""
        from pollenhall_operator.ttypes import apply_request
        documents = read_documents(self.folder)
        request = apply_request(documents=documents, base_generation=-1,
                                apply_id=uuid.uuid4().hex, actor="test")
        return {
            "diff": ("read", lambda client: client.diff(documents)),
            "apply": ("change", lambda client: client.apply(request)),
            "settle": ("change", lambda client: client.settle(
                "testers", request.apply_id)),
            "drain": ("operate", lambda client: client.drain()),
            "undrain": ("operate", lambda client: client.undrain()),
            "report": ("read", lambda client: client.report("testers")),
            "burn": ("read", lambda client: client.burn("testers")),
        }

    # Guards against an operator's text that ends the daemon: the store's
    # documents are JSON, which cannot hold it.
    def test_an_apply_with_text_that_is_not_utf_8_is_rejected(self):
        from pollenhall_operator.ttypes import apply_request, operator_error
        unreadable = "\udcff\udcfe"
        # Unchanged documents are not written.
        documents = read_documents(self.folder)
        documents[0].text += b"\n; changed\n"
        for texts in ({"apply_id": unreadable}, {"actor": unreadable}):
            client = self.connect(self.front, "testers/changer",
                                  KEYS["testers/changer"])
            protocol = client._oprot
            protocol.writeString = lambda text, out=protocol: out.writeBinary(
                text.encode("utf-8", "surrogateescape"))
            request = apply_request(**{
                "documents": documents, "base_generation": -1,
                "apply_id": uuid.uuid4().hex, "actor": "test", **texts})
            with self.assertRaises(operator_error) as raised:
                client.apply(request)
            self.assertIn("UTF-8", raised.exception.message)
            client._iprot.trans.close()
        self.assertEqual(self.refusal_message(
            "testers/reader", lambda client: client.report("testers")), "")

    def refusal_message(self, operator, call):
        """Makes a call; returns the message of a refusal or an empty text."""
        from pollenhall_operator.ttypes import operator_error
        client = self.connect(self.front, operator, KEYS.get(operator))
        try:
            call(client)
        except operator_error as error:
            return error.message
        finally:
            # A node serves only a few operator connections at once.
            client._iprot.trans.close()
        return ""

    def test_each_call_requires_its_right(self):
        for name, (right, call) in self.calls().items():
            for operator, rights in RIGHTS.items():
                may = operator.startswith("testers/") and \
                    right in rights.split(", ")
                message = self.refusal_message(operator, call)
                with self.subTest(call=name, operator=operator):
                    if may:
                        self.assertEqual(message, "")
                    else:
                        self.assertEqual(
                            message, f"operator '{operator}' lacks the right "
                            f"'{right}' for member 'testers'")
        self.assertIn("event=operator_refused", self.front.daemon.log())

    def test_calls_without_login_are_refused(self):
        calls = {name: call for name, (_, call) in self.calls().items()}
        calls["check"] = lambda client: client.check([])
        calls["status"] = lambda client: client.status()
        calls["explain"] = lambda client: client.explain("0" * 32)
        for name, call in calls.items():
            with self.subTest(call=name):
                self.assertEqual(self.refusal_message(None, call),
                                 "no operator is logged in")

    def test_wrong_keys_and_names_are_refused(self):
        from pollenhall_operator.ttypes import operator_error
        for name, key in (("platform", "x"), ("testers/reader", ""),
                          ("testers/reader", KEYS["testers/changer"]),
                          ("nobody/reader", KEYS["testers/reader"]), ("", "")):
            with self.subTest(name=name), self.assertRaises(operator_error):
                self.connect(self.front).log_in(name, key)

    def test_status_is_limited_to_readable_members(self):
        client = self.connect(self.front, "others/boss", KEYS["others/boss"])
        status = client.status()
        self.assertEqual(list(status.generations), ["member/others"])
        self.assertEqual(status.nodes, [])
        status = self.connect(self.front, "testers/reader",
                              KEYS["testers/reader"]).status()
        self.assertIn("member/testers", status.generations)
        self.assertNotIn("member/others", status.generations)
        self.assertEqual(len(status.nodes), 4)

    def test_removed_key_stops_working(self):
        from pollenhall_operator.ttypes import operator_error
        client = self.connect(self.front, "testers/reader",
                              KEYS["testers/reader"])
        client.report("testers")
        text = (self.folder / "member.ini").read_text()
        start = text.index("[operator reader]")
        end = text.index("[operator changer]")
        without = self.deployment.folder / "without"
        shutil.copytree(self.folder, without)
        (without / "member.ini").write_text(text[:start] + text[end:])
        self.deployment.ctl(self.front, "apply", without, check=0)
        try:
            with self.assertRaises(operator_error):
                client.report("testers")
        finally:
            self.deployment.ctl(self.front, "apply", self.folder, check=0)

    def test_invalid_operators_are_reported(self):
        broken = self.deployment.folder / "broken"
        shutil.copytree(DECLARATIONS, broken)
        with open(broken / "member.ini", "a", encoding="utf-8") as file:
            file.write("\n[operator X]\nkey-hash = 12\nrights = own\n")
        code, text = self.deployment.ctl(self.front, "check", broken)
        self.assertEqual(code, 1)
        for part in ("operator name 'X'", "key-hash is '12'",
                     "right 'own' is unknown"):
            self.assertIn(part, text)

    def test_key_files_are_created_and_checked(self):
        path = self.deployment.folder / "new.key"
        _, text = self.deployment.ctl(self.front, "new-key", "testers/x",
                                      check=0, key_file=path)
        name, key = path.read_text().split()
        self.assertEqual(name, "testers/x")
        self.assertEqual(text, f"key-hash = {hash_operator_key(key)}\n")
        self.assertEqual(path.stat().st_mode & 0o777, 0o600)
        code, _ = self.deployment.ctl(self.front, "new-key", "testers/x",
                                      key_file=path)
        self.assertEqual(code, 2)
        path.chmod(0o644)
        code, text = self.deployment.ctl(self.front, "status", key_file=path)
        self.assertEqual(code, 2)
        self.assertIn("chmod 600", text)


class Explain(DeploymentTestCase):
    """The decisions on one request along its call chain."""

    def explain(self, trace_id):
        return json.loads(self.deployment.ctl(
            self.front, "explain", trace_id, "--format", "json",
            check=0)[1])["decisions"]

    def test_completed_chain_is_explained(self):
        _, headers, _ = self.deployment.call(self.front, "front/buy", b"x",
                                             make_idempotency_key())
        decisions = self.explain(headers["pollenhall-trace-id"])
        seen = {(line["point"], f"{line['service']}/{line['kind']}")
                for line in decisions}
        for kind in ("front/buy", "stock/once", "stock/read"):
            self.assertIn(("upstream", kind), seen)
            self.assertIn(("entry", kind), seen)
        self.assertEqual({line["outcome"] for line in decisions},
                         {"completed"})

    def test_refusal_is_explained_with_its_reason(self):
        for node in self.stock_nodes:
            self.deployment.ctl(node, "drain", check=0)
        try:
            wait_until(lambda: self.deployment.call(
                self.front, "stock/read", b"x")[0] != 200, 10,
                "reads are refused")
            _, headers, _ = self.deployment.call(self.front, "stock/read",
                                                 b"x")
            last = self.explain(headers["pollenhall-trace-id"])[-1]
            self.assertEqual((last["point"], last["outcome"], last["reason"]),
                             ("entry", "not_run", "no_upstream"))
        finally:
            for node in self.stock_nodes:
                self.deployment.ctl(node, "drain", "--undo", check=0)

    def test_unknown_and_malformed_ids(self):
        self.assertEqual(self.explain("f" * 32), [])
        code, text = self.deployment.ctl(self.front, "explain", "xyz")
        self.assertEqual(code, 1)
        self.assertIn("32 lower-case hexadecimal digits", text)


if __name__ == "__main__":
    unittest.main()
