#!/usr/bin/env bash
# Compares ways to store claims at 10, 100 and 1,000 claims per second: one object
# per key, and group commit with several numbers of shards and commit windows.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${TRIAL_BIN:-bin}
measure() { # measure RATE NAME [FLAG...]
  local rate=$1 name=$2
  shift 2
  "$bin/rlb-load" capacity standins --controllers 3 --engines 1 >/dev/null &
  local standins=$!
  sleep 0.5
  echo "rate=$rate $name $("$bin/rlb-load" capacity claims --rate "$rate" "$@")"
  kill -TERM $standins
  wait $standins || true
}
group() { measure "$1" "shards=$2 window=$3" --set "controller.claim_shards=$2" --set "controller.claim_commit=$3"; }
for rate in ${CLAIM_RATES:-10 100 1000}; do
  measure "$rate" per-key --per-key
  group "$rate" 16 5ms
  group "$rate" 4 20ms
  group "$rate" 2 20ms
  group "$rate" 1 10ms
done
