"""Base class of the whole-program tests: a deployment per test class."""

import collections
import pathlib
import sys
import tempfile
import unittest

from deployment import ADDRESS, ROOT, Deployment

sys.path.insert(0, str(ROOT / "src" / "gen" / "python"))

DECLARATIONS = ROOT / "testsuite" / "declarations"


class DeploymentTestCase(unittest.TestCase):
    """Runs service `stock` on three nodes in three zones, `front` on one."""

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.deployment = Deployment(cls.directory.name)
        try:
            cls.start_deployment()
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    def start_deployment(cls):
        deployment = cls.deployment
        deployment.start_store()
        for zone in ("z1", "z2", "z3"):
            node = deployment.add_node(f"stock-{zone}", zone)
            deployment.start_upstream(node, "stock", slots=16, service_ms=3)
        front = deployment.add_node("front-z1", "z1")
        deployment.start_upstream(front, "front", slots=16, service_ms=3,
                                  calls=("buy=stock/once,stock/read",))
        deployment.wait_members()
        deployment.ctl(front, "apply", DECLARATIONS, check=0)
        deployment.wait_ready()
        deployment.wait_callable(front, "stock/read")
        for name in deployment.nodes:
            deployment.wait_callable(deployment.nodes[name], "front/buy",
                                     keyed=True)

    @classmethod
    def tearDownClass(cls):
        cls.deployment.kill_all()
        cls.directory.cleanup()

    @property
    def front(self):
        return self.deployment.nodes["front-z1"]

    @property
    def stock_nodes(self):
        return [node for node in self.deployment.nodes.values()
                if node.service == "stock"]

    def connect(self, node, name=None, key=None):
        """Connects to a node's operator port; logs in if a name is given."""
        from pollenhall_operator import operator_service
        from thrift.protocol import TBinaryProtocol
        from thrift.transport import TSocket, TTransport
        transport = TTransport.TBufferedTransport(
            TSocket.TSocket(ADDRESS, node.operator_port))
        transport.open()
        self.addCleanup(transport.close)
        client = operator_service.Client(
            TBinaryProtocol.TBinaryProtocol(transport))
        if name:
            client.log_in(name, key)
        return client

    def runs_by_key(self):
        """Counts the runs of each key on all reachable upstreams."""
        totals = collections.Counter()
        for node in self.deployment.nodes.values():
            try:
                runs = self.deployment.runs(node)["keys"]
            except OSError:
                continue
            for key, count in runs.items():
                totals[key.strip('"')] += count
        return totals

    def runs_of(self, key):
        """Counts the runs of one key on all reachable upstreams."""
        return self.runs_by_key()[key]


def read_documents(declarations):
    """Reads a directory of declarations as documents for operator calls."""
    from pollenhall_operator.ttypes import document
    declarations = pathlib.Path(declarations)
    return [document(path=str(path.relative_to(declarations)),
                     text=path.read_bytes())
            for path in sorted(declarations.rglob("*.ini"))]
