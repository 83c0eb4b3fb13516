#!/usr/bin/env bash
# Runs within a trial (make replace): stops each gateway with SIGTERM, sent twice, and
# starts it again while callers read streams. No answer may be cut off.
set -euo pipefail
dir=$TRIAL_DIR
at() { echo "127.0.0.1:$((TRIAL_PORT + $1))"; }
records=$(cd "$dir" && for f in *.ini; do touch "${f%.ini}.record"; printf '%s,' "$dir/${f%.ini}.record"; done)
bin/rlb-load faults --requests "${REPLACE_REQUESTS:-20000}" --seed 3 --gateways "$(at 0),$(at 1),$(at 2)" \
  --models draft-8g,route-8g,plan-20g,draft-ruwi --once-model reassign-8g --records "${records%,}" >"$dir/verdict" &
load=$!
started=()
replaced=0
sleep 2
for i in 0 1 2; do
  pid=$(cat "$dir/gateway$i.pid")
  kill -TERM "$pid"
  sleep 0.5
  kill -TERM "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  # shellcheck disable=SC2046
  $(cat "$dir/gateway$i.cmd") >>"$dir/gateway$i.out" 2>>"$dir/gateway$i.log" &
  started+=($!)
  replaced=$((replaced + 1))
  sleep 2
done
kill -0 "$load" || { echo "the load ended before all gateways were replaced"; exit 1; }
status=0
wait "$load" || status=$?
for pid in "${started[@]}"; do kill -TERM "$pid"; done
cat "$dir/verdict"
echo "replaced=$replaced cut=$(sed -n 's/.*broken:\([0-9]*\).*/\1/p' "$dir/verdict" | grep . || echo 0)"
grep -q broken: "$dir/verdict" && status=1
exit $status
