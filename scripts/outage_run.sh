#!/usr/bin/env bash
# Runs within a trial (make outage): a lease holder is killed, another frozen past
# its lease and woken, the object API is down for 60 s, an endpoint is lost, two
# operators publish conflicting notes, an answer is lost after the write.
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
say() { echo "$(date +%T) $*"; }
list=$(for name in $engines; do printf '%s,' "$(address "$name")"; done)

say "waiting until every model has its replicas"
for _ in $(seq 300); do
  lacking=$($TRIAL_CTL status | awk '$1 == "model" && $NF !~ /,/' | wc -l)
  [ "$lacking" = 0 ] && break
  sleep 0.2
done
bin/rlb-load watch --engines "${list%,}" --gateways "$(at 0),$(at 1),$(at 2)" >"$dir/verdict" &
watch=$!
sleep 1

holder=controller$((RANDOM % 3))
say "$holder is killed"
signal KILL "$holder"
sleep 12
restart "$holder"
sleep 3
frozen=controller$((RANDOM % 3))
say "$frozen is frozen past its leases"
signal STOP "$frozen"
sleep 12
signal CONT "$frozen"
say "$frozen is woken"
sleep 4

say "two operators publish on the same base"
note first 1 route-8g v2
note second 1 plan-20g v2
$TRIAL_CTL note publish "$dir/first.yaml" >"$dir/first.log" 2>&1 && one=0 || one=$?
$TRIAL_CTL note publish "$dir/second.yaml" >"$dir/second.log" 2>&1 && two=0 || two=$?
say "first operator: exit $one, second operator: exit $two"
[ "$one" = 0 ] && [ "$two" = 3 ]
sleep 12

say "an answer is lost after the write of a note"
objects '{"next":["answer-lost","answer-lost"]}'
note third 2 plan-20g v2
$TRIAL_CTL note publish --wait 15s "$dir/third.yaml"
sleep 12

lost=planner$((RANDOM % 9))
say "the object API goes down for 60 s; $lost is lost meanwhile"
objects '{"down":true}'
sleep 5
signal KILL "$lost"
sleep 5
gateway=gateway$((RANDOM % 3))
say "$gateway is replaced during the outage"
signal KILL "$gateway"
restart "$gateway"
sleep 50
objects '{}'
say "the object API is back"
sleep 25
restart "$lost"
sleep 5
$TRIAL_CTL status >"$dir/status"
head -1 "$dir/status"
say "what explain tells of leases and of the lost endpoint:"
$TRIAL_CTL explain lease/ | tail -12
$TRIAL_CTL explain "endpoint/$lost" | tail -6
kill -TERM "$watch"
status=0
wait "$watch" || status=$?
watch=
cat "$dir/verdict"
exit $status
