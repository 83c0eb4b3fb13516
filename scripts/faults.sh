#!/usr/bin/env bash
# A seeded fault run with real processes on loopback: FAULTS_REQUESTS requests,
# FAULTS_SEED. Its last line is the verdict by the stand-ins' own record; it
# exits with another status than 0 when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
export TRIAL_PORT=${TRIAL_PORT:-17000} TRIAL_DIR=${TRIAL_DIR:-.trial/faults} TRIAL_NOTE=examples/faults.yaml
export TRIAL_MODEL=draft-8g TRIAL_STEP=2ms TRIAL_LOADS=20 TRIAL_THEN=scripts/faults_run.sh
out=$(mktemp)
scripts/trial.sh >"$out" || status=$?
grep -v '^all processes ended' "$out"
rm -f "$out"
exit "${status:-0}"
