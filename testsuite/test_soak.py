"""A short run of the fault soak with fixed seeds.

Guards against guarantees that break under killed and frozen processes, broken
links, an unstable store and planned operations.
"""

import subprocess
import sys
import unittest

from deployment import ROOT

SOAK = ROOT / "testsuite" / "soak" / "soak.py"
# Long enough for a graceful stop; start and recovery take the rest of the run.
FAULTS_S = 10


class Soak(unittest.TestCase):
    """Real nodes under external faults."""

    def test_guarantees_hold_under_faults(self):
        run = subprocess.run(
            [sys.executable, str(SOAK), "--seed", "1", "--seed", "2",
             "--seconds", str(FAULTS_S)],
            capture_output=True, text=True, timeout=180, check=False)
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)


if __name__ == "__main__":
    unittest.main()
