#!/usr/bin/env bash
# Runs a small deployment of the users' platform on loopback as separate processes:
# the stand-in "site" and three instances of rlb-node. Ctrl-C stops all processes.
# TRIAL_PORT sets the first port, TRIAL_THEN a command to run once an answer is
# streamed; the trial then exits with its status.
set -euo pipefail
cd "$(dirname "$0")/.."
port=${TRIAL_PORT:-17000}
dir=.trial/platform
rm -rf "$dir"
mkdir -p "$dir"
pids=()

stop_all() {
  trap - INT TERM EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "all processes ended"
}
trap 'stop_all; exit 0' INT TERM
trap stop_all EXIT

cat >"$dir/site.ini" <<INI
[instance]
id = site
[standin]
listen = 127.0.0.1:$port
step = 50ms
INI
bin/rlb-standin site --settings "$dir/site.ini" >"$dir/site.out" 2>"$dir/site.log" &
pids+=($!)
n=0
for domain in seeb bawshar muttrah; do
  n=$((n + 1))
  at=$((port + 20 + n * 10))
  cat >"$dir/node$n.ini" <<INI
[instance]
id = node$n
failure_domain = $domain
[platform]
objects = 127.0.0.1:$port
[node]
callers = 127.0.0.1:$at
readiness = 127.0.0.1:$((at + 1))
internal = 127.0.0.1
internal_ports = $((at + 2)),$((at + 3))
INI
  bin/rlbctl settings check "$dir/node$n.ini"
  bin/rlb-node --settings "$dir/node$n.ini" >"$dir/node$n.out" 2>"$dir/node$n.log" &
  pids+=($!)
done

line() {
  local example
  example=$(grep -o '"example":"[^"]*"' "$dir/site.out" | cut -d'"' -f4)
  echo "curl -sN http://127.0.0.1:$((port + 30))/draft/x $example"
}
for _ in $(seq 300); do
  if [ -s "$dir/site.out" ] && eval "$(line)" 2>/dev/null | grep -q 'token 8'; then
    echo ready
    line
    if [ -n "${TRIAL_THEN:-}" ]; then
      eval "$TRIAL_THEN"
      exit $?
    fi
    wait
    exit 0
  fi
  sleep 0.1
done
echo "no streamed answer from the instances; see $dir" >&2
exit 1
