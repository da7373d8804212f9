#!/usr/bin/env bash
# Checks where names of the platform stand, the format of all sources, then
# runs the linter on each.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/check_wire_names.sh
scripts/sources.sh | xargs clang-format --dry-run --Werror
scripts/sources.sh | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>build/lint.err ||
    { echo "lint: clang-tidy found faults"; exit 1; }
echo "lint: ok"
