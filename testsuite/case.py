"""What the whole-program tests share: one small deployment for a class."""

import collections
import pathlib
import sys
import tempfile
import unittest

from deployment import ADDRESS, ROOT, Deployment

sys.path.insert(0, str(ROOT / "src" / "gen" / "python"))

DECLARATIONS = ROOT / "testsuite" / "declarations"


class PlatformCase(unittest.TestCase):
    """Three nodes of service `stock` in three zones and one of `front`."""

    @classmethod
    def setUpClass(cls):
        cls.holder = tempfile.TemporaryDirectory()
        cls.platform = Deployment(cls.holder.name)
        try:
            cls.start_platform()
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    def start_platform(cls):
        platform = cls.platform
        platform.start_store()
        for zone in ("z1", "z2", "z3"):
            node = platform.add_node(f"stock-{zone}", zone)
            platform.start_upstream(node, "stock", slots=16, service_ms=3)
        front = platform.add_node("front-z1", "z1")
        platform.start_upstream(front, "front", slots=16, service_ms=3,
                                calls=("buy=stock/once,stock/read",))
        platform.wait_members()
        platform.ctl(front, "apply", DECLARATIONS, check=0)
        platform.wait_ready()
        platform.wait_callable(front, "stock/read")
        for name in platform.nodes:
            platform.wait_callable(platform.nodes[name], "front/buy",
                                   keyed=True)

    @classmethod
    def tearDownClass(cls):
        cls.platform.kill_all()
        cls.holder.cleanup()

    @property
    def front(self):
        return self.platform.nodes["front-z1"]

    @property
    def stock_nodes(self):
        return [node for node in self.platform.nodes.values()
                if node.service == "stock"]

    def connect(self, node, name=None, key=None):
        """A client of a node's operator port, logged in if a name is given."""
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
        """How often the upstreams that can be asked ran each key."""
        totals = collections.Counter()
        for node in self.platform.nodes.values():
            try:
                runs = self.platform.runs(node)["keys"]
            except OSError:
                continue
            for key, count in runs.items():
                totals[key.strip('"')] += count
        return totals

    def runs_of(self, key):
        """How often the upstreams that can be asked ran a key."""
        return self.runs_by_key()[key]


def read_documents(folder):
    """The files of a folder of declarations, as the operators' calls take
    them."""
    from pollenhall_operator.ttypes import document
    folder = pathlib.Path(folder)
    return [document(path=str(path.relative_to(folder)),
                     text=path.read_bytes())
            for path in sorted(folder.rglob("*.ini"))]
