#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start: the sidecar is built
# by the deploy file, the stand-ins are Python and only compiled as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/platform/pollenhall-sidecar
python3 - <<'PY'
import pathlib
sources = [pathlib.Path("review/standins-2/standins.py")]
sources += [case for number in range(6, 11)
            for case in pathlib.Path("review").glob(f"{number}/case.py")]
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} files compiled")
PY
