#!/usr/bin/env bash
# Fails if a name of the platform's wire protocol is used outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Upstream-Signature|Target-Instance|Not-Executed|traffic_split'
names+='|kv-(txn|range|watch|key|lease|keep)|virtual_hosts|target_latency_ms'
names+='|cold_remaining_ms|heartbeat_addr|POLLENHALL_NODE_FILE'
if git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.hpp' |
    grep -v '^src/gen/' | xargs grep -nE "$names"; then
    echo "error: names of the platform's wire protocol are used outside platform/"
    exit 1
fi
