#!/usr/bin/env bash
# Runs within a trial (make cost): measures the latency and CPU time that a gateway adds.
set -euo pipefail
model=draft-8g
address=
for _ in $(seq 100); do
  id=$($TRIAL_CTL status | awk -v m="$model" '$1 == "model" && $2 == m {print $NF}' | cut -d, -f1)
  [ -f "$TRIAL_DIR/$id.ini" ] && address=$(sed -n 's/^listen = //p' "$TRIAL_DIR/$id.ini") && break
  sleep 0.1
done
bin/rlb-load cost --gateway "127.0.0.1:$TRIAL_PORT" --gateway-pid "$(cat "$TRIAL_DIR/gateway0.pid")" --endpoint "$address" --model "$model"
