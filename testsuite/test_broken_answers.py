"""pollenctl against a node whose answers are broken.

Guards against a broken answer that pollenctl reports as a result, that ends it
without an error message, that it waits for until its time limit, or whose
announced size it allocates.
"""

import os
import pathlib
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from deployment import ADDRESS, BUILD, ROOT

sys.path.insert(0, str(ROOT / "src" / "gen" / "python"))

# Well below the time limit of a call, which is 10 s.
MAX_SECONDS = 5
# Above the limit of a message, 100 MB, and well below the announced sizes.
MAX_MEMORY_KB = 300_000


def reply_bytes(call, result):
    """Encodes the reply to a call in the protocol of the operator port."""
    from thrift.protocol import TBinaryProtocol
    from thrift.Thrift import TMessageType
    from thrift.transport import TTransport
    buffer = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocol(buffer)
    protocol.writeMessageBegin(call, TMessageType.REPLY, 0)
    result.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


class FaultyNode:
    """Answers the calls of each connection with given bytes, one per call."""

    def __init__(self, answers, with_reset):
        self.answers = answers
        self.with_reset = with_reset
        self.listener = socket.create_server((ADDRESS, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:  # closed
                return
            with connection:
                for answer in self.answers:
                    connection.recv(65536)
                    connection.sendall(answer)
                if self.with_reset:
                    # Time for the answer to arrive.
                    time.sleep(0.1)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class BrokenAnswers(unittest.TestCase):
    """Each command ends soon, with the exit code of an unknown result."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        self.key_file = self.folder / "operator.key"
        self.key_file.touch(mode=0o600)
        self.key_file.write_text(f"platform {'0' * 64}\n")
        from pollenhall_operator import operator_service, ttypes
        self.logged_in = reply_bytes("log_in",
                                     operator_service.log_in_result())
        self.status = reply_bytes("status", operator_service.status_result(
            success=ttypes.status_reply(
                node="a", version="1", store_reachable=True, nodes=[],
                generations={})))

    def run_status(self, answers, with_reset):
        """Runs pollenctl status; returns its exit code and output."""
        node = FaultyNode(answers, with_reset)
        self.addCleanup(node.close)
        output = self.folder / "output"
        began = time.monotonic()
        with output.open("w") as stream:
            process = subprocess.Popen(
                [BUILD / "src/pollenctl/pollenctl", "status", "--node",
                 f"{ADDRESS}:{node.port}", "--key-file", self.key_file],
                stdout=stream, stderr=stream)
            # Unlike Popen.wait(), it tells the memory of this process.
            _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        self.assertLess(time.monotonic() - began, MAX_SECONDS)
        self.assertLess(usage.ru_maxrss, MAX_MEMORY_KB)
        return process.returncode, output.read_text()

    def check_broken(self, *answers):
        for with_reset in (False, True):
            with self.subTest(answers=answers, with_reset=with_reset):
                code, text = self.run_status(answers, with_reset)
                self.assertEqual(code, 4, text)
                self.assertIn("pollenctl: ", text)

    def test_whole_answers_are_read(self):
        code, text = self.run_status((self.logged_in, self.status), False)
        self.assertEqual(code, 0, text)

    def test_answers_that_end_early(self):
        self.check_broken(b"")
        for size in (1, 4, 8, len(self.logged_in) - 1):
            self.check_broken(self.logged_in[:size])
        for size in (0, 1, 4, 8, len(self.status) // 2, len(self.status) - 1):
            self.check_broken(self.logged_in, self.status[:size])

    def test_answers_that_are_none(self):
        for answer in (b"HTTP/1.1 000 OK\r\n\r\n", b"\0" * 64, b"\xff" * 64,
                       self.status[:4] + b"\x7f\xff\xff\xff" + b"x" * 64):
            self.check_broken(answer)
            self.check_broken(self.logged_in, answer)

    def test_answers_to_another_call(self):
        self.check_broken(self.status)
        self.check_broken(self.logged_in, self.logged_in)


if __name__ == "__main__":
    unittest.main()
