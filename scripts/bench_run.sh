#!/usr/bin/env bash
# Runs within a trial: runs one policy on all seeds and appends the results to BENCH_OUT.
set -euo pipefail
dir=$TRIAL_DIR
list=$(for f in $(grep -l "^fencing" "$dir"/*.ini); do printf '%s,' "$(sed -n 's/^listen = //p' "$f")"; done)
gateways="127.0.0.1:$TRIAL_PORT,127.0.0.1:$((TRIAL_PORT + 1)),127.0.0.1:$((TRIAL_PORT + 2))"
# Waits for at most 60 s until each model is ready on at least two engines.
for _ in $(seq 300); do
  incomplete=$($TRIAL_CTL status | awk '$1 == "model" && $NF !~ /,/' | wc -l)
  [ "$incomplete" = 0 ] && break
  sleep 0.2
done
for seed in $BENCH_SEEDS; do
  for load in $BENCH_LOADS; do
    "${TRIAL_BIN:-bin}/rlb-load" run "$BENCH_SCENARIO" --seed "$seed" --load "$load" --label "$BENCH_LABEL" \
      --gateways "$gateways" --engines "${list%,}" >>"$BENCH_OUT"
  done
done
