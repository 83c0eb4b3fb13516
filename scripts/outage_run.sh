#!/usr/bin/env bash
# Runs within a trial (make outage): a lease holder is killed, another is frozen until
# its lease has expired and then resumed, the object API is unavailable for 60 s, an
# endpoint is lost, two operators publish conflicting notes, and the answer to a
# write is lost.
set -euo pipefail
dir=$TRIAL_DIR
RANDOM=${OUTAGE_SEED:-1}
at() { echo "127.0.0.1:$((TRIAL_PORT + $1))"; }
address() { sed -n 's/^listen = //p' "$dir/$1.ini"; }
engines=$(cd "$dir" && ls planner*.ini dispatch*.ini | sed 's/.ini//')
started=()
watch=
finish() { for pid in "${started[@]}" $watch; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done; }
trap finish EXIT
signal() { kill "-$1" "$(cat "$dir/$2.pid")"; }
restart() {
  # shellcheck disable=SC2046
  $(cat "$dir/$1.cmd") >>"$dir/$1.out" 2>>"$dir/$1.log" &
  echo $! >"$dir/$1.pid"
  started+=($!)
}
objects() { curl -s -m 2 -X PUT "http://$(at 400)/fault/objects" -d "$1" >/dev/null; }
note() { # note ID BASE MODEL VERSION
  printf 'id: %s\nbase: %s\nchange:\n  models: [{name: %s, version: %s, role: planner}]\n' "$@" >"$dir/$1.yaml"
}
log() { echo "$(date +%T) $*"; }
list=$(for name in $engines; do printf '%s,' "$(address "$name")"; done)

log "waiting for the replicas of all models"
for _ in $(seq 300); do
  incomplete=$($TRIAL_CTL status | awk '$1 == "model" && $NF !~ /,/' | wc -l)
  [ "$incomplete" = 0 ] && break
  sleep 0.2
done
bin/rlb-load watch --engines "${list%,}" --gateways "$(at 0),$(at 1),$(at 2)" >"$dir/verdict" &
watch=$!
sleep 1

holder=controller$((RANDOM % 3))
log "killing $holder"
signal KILL "$holder"
sleep 12
restart "$holder"
sleep 3
frozen=controller$((RANDOM % 3))
log "freezing $frozen until its leases have expired"
signal STOP "$frozen"
sleep 12
signal CONT "$frozen"
log "$frozen resumed"
sleep 4

log "two operators publish notes on the same base version"
note first 1 route-8g v2
note second 1 plan-20g v2
$TRIAL_CTL note publish "$dir/first.yaml" >"$dir/first.log" 2>&1 && one=0 || one=$?
$TRIAL_CTL note publish "$dir/second.yaml" >"$dir/second.log" 2>&1 && two=0 || two=$?
log "first operator: exit $one, second operator: exit $two"
[ "$one" = 0 ] && [ "$two" = 3 ]
sleep 12

log "publishing a note while the answer to the write is lost"
objects '{"next":["answer-lost","answer-lost"]}'
note third 2 plan-20g v2
$TRIAL_CTL note publish --wait 15s "$dir/third.yaml"
sleep 12

lost=planner$((RANDOM % 9))
log "making the object API unavailable for 60 s; $lost is lost in the meantime"
objects '{"down":true}'
sleep 5
signal KILL "$lost"
sleep 5
gateway=gateway$((RANDOM % 3))
log "replacing $gateway during the outage"
signal KILL "$gateway"
restart "$gateway"
sleep 50
objects '{}'
log "the object API is available again"
sleep 25
restart "$lost"
sleep 5
$TRIAL_CTL status >"$dir/status"
head -1 "$dir/status"
log "output of explain for the leases and the lost endpoint:"
$TRIAL_CTL explain lease/ | tail -12
$TRIAL_CTL explain "endpoint/$lost" | tail -6
kill -TERM "$watch"
status=0
wait "$watch" || status=$?
watch=
cat "$dir/verdict"
exit $status
