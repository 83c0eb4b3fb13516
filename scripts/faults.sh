#!/usr/bin/env bash
# Runs a seeded fault run with real processes on loopback: FAULTS_REQUESTS requests
# with seed FAULTS_SEED. The last line is the verdict, based on the records of the
# stand-ins; the exit status is not 0 if a guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
export TRIAL_PORT=${TRIAL_PORT:-17000} TRIAL_DIR=${TRIAL_DIR:-.trial/faults} TRIAL_NOTE=examples/faults.yaml
export TRIAL_MODEL=draft-8g TRIAL_STEP=2ms TRIAL_LOADS=20 TRIAL_THEN=scripts/faults_run.sh
out=$(mktemp)
scripts/trial.sh >"$out" || status=$?
grep -v '^all processes ended' "$out"
rm -f "$out"
exit "${status:-0}"
