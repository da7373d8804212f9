"""The reference pages name what the code has, no more and no less."""

import re
import unittest

from deployment import ROOT


def read(path):
    return (ROOT / path).read_text(encoding="utf-8")


class Reference(unittest.TestCase):
    """Settings, log events and reasons."""

    def test_settings(self):
        documented = set(re.findall(r"^\| ([a-z]+) \| ([a-z-]+) \|",
                                    read("docs/settings.md"), re.M))
        documented.discard(("section", "key"))
        code = read("src/libpollenhall_io/node_settings.cpp")
        found = set()
        for body in re.split(r"^void read_", code, flags=re.M)[1:]:
            section = body[:body.index("(")]
            body = body[:body.index("\n}")]
            found |= {(section, key) for key in re.findall(
                r"""(?:reader\.\w+\(|read_\w+\(\s*reader,\s*)"([a-z-]+)\"""",
                body)}
        self.assertEqual(documented, found)

    def test_log_events(self):
        text = read("docs/OPERATIONS.md")
        documented = set(re.findall(r"`([a-z_]+)`",
                                    text[:text.index("| failure")]))
        documented.discard("suppressed")
        found = set()
        for folder in ("pollenhalld", "libpollenhall_io"):
            for path in (ROOT / "src" / folder).glob("*.cpp"):
                if not path.name.endswith("_test.cpp"):
                    found |= set(re.findall(r'log_event\("([a-z_]+)"',
                                            path.read_text()))
        self.assertEqual(documented, found)

    def test_sidecar_log_events(self):
        text = read("docs/OPERATIONS.md")
        text = text[text.index("## Events of the sidecar"):
                    text.index("## From an id to the cause")]
        documented = set(re.findall(r"`([a-z_]+)`", text))
        found = set()
        for folder in (ROOT / "src" / "pollenhall_sidecar",
                       ROOT / "platform"):
            for path in folder.glob("*.cpp"):
                if not path.name.endswith("_test.cpp"):
                    found |= set(re.findall(r'log_event\(\s*"([a-z_]+)"',
                                            path.read_text()))
        self.assertEqual(documented, found)

    def test_reasons(self):
        code = read("src/libpollenhall/dispatch_queue.cpp")
        names = code[code.index("refusal_names{"):]
        found = set(re.findall(r'"([a-z_]+)"', names[:names.index("}")]))
        contract = read("docs/http-contract.md")
        line = next(line for line in contract.splitlines()
                    if line.startswith("| `Pollenhall-Reason`"))
        documented = set(re.findall(r"`([a-z_]+)`", line))
        self.assertEqual(documented, found)


if __name__ == "__main__":
    unittest.main()
