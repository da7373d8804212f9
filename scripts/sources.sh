#!/usr/bin/env bash
# Lists the C++ sources without generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard \
    'src/*.cpp' 'src/*.hpp' 'testsuite/*.cpp' \
    'platform/*.cpp' 'platform/*.hpp' | grep -v '^src/gen/'
