#!/usr/bin/env bash
# Runs a trial of Kōtare's size on the same seeds with several values of move_weight
# and compares attainment and number of moves.
set -euo pipefail
cd "$(dirname "$0")/.."
export BENCH_OUT=${BENCH_OUT:-.trial/moves.jsonl} BENCH_SCENARIO=scenarios/kotare-quotes.ini BENCH_SEEDS=${BENCH_SEEDS:-1 2 3}
export BENCH_LOADS=1 TRIAL_PORT=11000 TRIAL_DIR=.trial/moves TRIAL_THEN=scripts/bench_run.sh
export TRIAL_DOMAINS="nz-north-a nz-north-b nz-north-c" TRIAL_ROLES="advisor:12 desk:3" TRIAL_NOTE=examples/kotare-first.yaml TRIAL_MODEL=desk0-14g
export TRIAL_STEP=20ms TRIAL_STEP_SLOT=2ms TRIAL_PREFILL=4000 TRIAL_LOADS=1.5 TRIAL_SLOTS=16
mkdir -p .trial
: >"$BENCH_OUT"
for weight in ${MOVE_WEIGHTS:-0.02 0.2 1 5}; do
  TRIAL_MOVES=$weight BENCH_LABEL="weight $weight" scripts/trial.sh >/dev/null
done
"${TRIAL_BIN:-bin}/rlb-load" compare "$BENCH_OUT" --scenario kotare-quotes --html .trial/moves.html
