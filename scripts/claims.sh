#!/usr/bin/env bash
# Compares group commit with an object a key at 10, 100 and 1,000 claims a second.
set -euo pipefail
cd "$(dirname "$0")/.."
for rate in 10 100 1000; do
  for mode in "" --per-key; do
    bin/rlb-load capacity standins --controllers 3 --engines 1 >/dev/null &
    standins=$!
    sleep 0.5
    echo "rate=$rate ${mode:-group} $(bin/rlb-load capacity claims --rate $rate $mode)"
    kill -TERM $standins
    wait $standins || true
  done
done
