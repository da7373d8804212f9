#!/usr/bin/env bash
# Checks that the platform's wire names are used only in platform/, checks the
# format of all sources, then runs clang-tidy on each.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/check_wire_names.sh
scripts/sources.sh | xargs clang-format --dry-run --Werror
scripts/sources.sh | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>build/lint.err ||
    { echo "lint: clang-tidy reported problems"; exit 1; }
echo "lint: ok"
