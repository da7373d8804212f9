"""A short run of the fault soak with seeds that are known to pass."""

import subprocess
import sys
import unittest

from deployment import ROOT

SOAK = ROOT / "testsuite" / "soak" / "soak.py"
# Faults last as long as a stop takes; the rest is start and recovery.
SECONDS = 10


class Soak(unittest.TestCase):
    """Real nodes under faults from outside."""

    def test_promises_hold(self):
        run = subprocess.run(
            [sys.executable, str(SOAK), "--seed", "1", "--seed", "2",
             "--seconds", str(SECONDS)],
            capture_output=True, text=True, timeout=180, check=False)
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)


if __name__ == "__main__":
    unittest.main()
