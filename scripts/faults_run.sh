#!/usr/bin/env bash
# Runs within a trial (see faults.sh): sends the seeded mix of requests while faults
# are injected into endpoints and platform, and processes are killed, frozen and
# replaced.
set -euo pipefail
dir=$TRIAL_DIR
seed=${FAULTS_SEED:-1}
requests=${FAULTS_REQUESTS:-100000}
RANDOM=$seed
at() { echo "127.0.0.1:$((TRIAL_PORT + $1))"; }
engines=$(cd "$dir" && ls planner*.ini dispatch*.ini | sed 's/.ini//')
services=$(cd "$dir" && ls shifts*.ini stock*.ini | sed 's/.ini//')
address() { sed -n 's/^listen = //p' "$dir/$1.ini"; }
started=()
load=

finish() {
  for pid in "${started[@]}" $load; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
}
trap finish EXIT

signal() { kill "-$1" "$(cat "$dir/$2.pid")" 2>/dev/null || true; }

# restart NAME starts a terminated process again.
restart() {
  # shellcheck disable=SC2046
  $(cat "$dir/$1.cmd") >>"$dir/$1.out" 2>>"$dir/$1.log" &
  echo $! >"$dir/$1.pid"
  started+=($!)
}

rates='"refuse":0.005,"fail":0.003,"late":0.003,"silent":0.001,"silent-mid":0.001,"cut-before":0.005,"cut-mid":0.005,"crossed":0.003,"crossed-mid":0.003,"doubled":0.005,"gap":0.003,"no-end":0.003,"wrong-size":0.003'
# set_faults sets the fault rates of all endpoints; a restarted endpoint has none.
set_faults() {
  for name in $engines $services; do
    curl -s -m 2 -X PUT "http://$(address "$name")/fault" -d "{\"seed\":$((seed + RANDOM)),\"delay\":300000000,\"rates\":{$rates}}" >/dev/null || true
  done
}
object_faults() { curl -s -m 2 -X PUT "http://$(at 400)/fault/objects" -d "$1" >/dev/null || true; }
pick() { # pick WORD... prints a random word of the list
  shift $((RANDOM % $#))
  echo "$1"
}

records=$(for name in $engines $services; do touch "$dir/$name.record"; printf '%s,' "$dir/$name.record"; done)
set_faults
"${TRIAL_BIN:-bin}/rlb-load" faults --requests "$requests" --seed "$seed" --gateways "$(at 0),$(at 1),$(at 2)" \
  --models draft-8g,route-8g,plan-20g,draft-ruwi --once-model reassign-8g --records "${records%,}" --concurrency "${FAULTS_CONCURRENCY:-64}" >"$dir/verdict" &
load=$!

events=0
while kill -0 "$load" 2>/dev/null; do
  gateway=gateway$((RANDOM % 3))
  controller=controller$((RANDOM % 3))
  # shellcheck disable=SC2086
  engine=$(pick $engines)
  # shellcheck disable=SC2086
  service=$(pick $services)
  case $((RANDOM % 10)) in
    0) signal KILL "$gateway"; restart "$gateway" ;;
    1) signal KILL "$controller"; sleep 1; restart "$controller" ;;
    2) signal KILL "$engine"; sleep 0.5; restart "$engine" ;;
    3) signal STOP "$gateway"; sleep 3; signal CONT "$gateway" ;;
    4) signal STOP "$controller"; sleep 8; signal CONT "$controller" ;;
    5) signal STOP "$engine"; sleep 4; signal CONT "$engine" ;;
    6) signal TERM "$gateway"; sleep 6; signal KILL "$gateway"; restart "$gateway" ;;
    7) object_faults '{"down":true}'; sleep 3; object_faults '{}' ;;
    8) object_faults '{"delay":200000000,"next":["answer-lost","lost","refused","answer-lost"]}'; sleep 2; object_faults '{}' ;;
    9) signal KILL "$service"; signal STOP "$controller"; sleep 0.5; restart "$service"; signal CONT "$controller" ;;
  esac
  events=$((events + 1))
  sleep 0.5
  set_faults
done
echo "events=$events"
status=0
wait "$load" || status=$?
load=
cat "$dir/verdict"
exit $status
