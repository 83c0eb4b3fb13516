#!/usr/bin/env bash
# Runs each routing policy on the same seeds and compares the results. The baseline
# policies run without admission, like an ordinary load balancer.
set -euo pipefail
cd "$(dirname "$0")/.."
export BENCH_OUT=${BENCH_OUT:-.trial/bench.jsonl} BENCH_SCENARIO=${BENCH_SCENARIO:-scenarios/muscat-morning.ini}
export BENCH_SEEDS=${BENCH_SEEDS:-1 2 3 4 5} TRIAL_PORT=12000 TRIAL_DIR=.trial/bench TRIAL_THEN=scripts/bench_run.sh
export TRIAL_STEP=20ms TRIAL_STEP_SLOT=2ms TRIAL_PREFILL=4000 TRIAL_LOADS=20 TRIAL_SLOTS=16
mkdir -p .trial
: >"$BENCH_OUT"
for policy in ${BENCH_POLICIES:-random round-robin least-in-flight two-choices prefix-hash cost}; do
  admission=false loads=1
  [ "$policy" = cost ] && admission=true loads="1 2"
  TRIAL_POLICY=$policy TRIAL_ADMISSION=$admission BENCH_LABEL=$policy BENCH_LOADS=$loads scripts/trial.sh >/dev/null
done
"${TRIAL_BIN:-bin}/rlb-load" compare "$BENCH_OUT" --html .trial/bench.html
