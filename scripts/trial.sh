#!/usr/bin/env bash
# Runs a trial of Muscat's size on loopback as separate processes: the stand-ins,
# three controllers and three gateways. Ctrl-C stops all processes. Variables:
#   TRIAL_PORT       first port
#   TRIAL_DIR        folder for settings files and logs
#   TRIAL_BIN        folder of the programs
#   TRIAL_NOTE       first release note
#   TRIAL_MODEL      model of the printed curl command
#   TRIAL_STEP, TRIAL_STEP_SLOT, TRIAL_PREFILL, TRIAL_SLOTS
#                    speed and slots of the engines
#   TRIAL_LOADS      loads per second
#   TRIAL_POLICY, TRIAL_ADMISSION
#                    settings policy and admission of the gateways
#   TRIAL_MOVES      setting move_weight of the controllers
#   TRIAL_DOMAINS    failure domains
#   TRIAL_ROLES      engines as ROLE:NUMBER
#   TRIAL_THEN       command to run once the trial is ready; the trial then exits
#                    with its status
set -euo pipefail
cd "$(dirname "$0")/.."
port=${TRIAL_PORT:-7000}
dir=${TRIAL_DIR:-.trial/trial}
bin=${TRIAL_BIN:-bin}
note=${TRIAL_NOTE:-examples/muscat-first.yaml}
model=${TRIAL_MODEL:-dispatch-14g}
step=${TRIAL_STEP:-20ms}
step_slot=${TRIAL_STEP_SLOT:-500us}
prefill=${TRIAL_PREFILL:-8000}
loads=${TRIAL_LOADS:-1}
slots=${TRIAL_SLOTS:-32}
policy=${TRIAL_POLICY:-cost}
admission=${TRIAL_ADMISSION:-true}
moves=${TRIAL_MOVES:-0.2}
rm -rf "$dir"
mkdir -p "$dir"
pids=()
names=()

stop_all() {
  trap - INT TERM EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "all processes ended"
}
trap 'stop_all; exit 0' INT TERM
trap stop_all EXIT

# start NAME PROGRAM [ARGUMENT...] starts a program with the settings file NAME.ini.
start() {
  local name=$1
  shift
  echo "$* --settings $dir/$name.ini" >"$dir/$name.cmd"
  "$@" --settings "$dir/$name.ini" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  names+=("$name")
  echo "$!" >"$dir/$name.pid"
}

wait_ready() {
  for name in "${names[@]}"; do
    for _ in $(seq 200); do
      grep -q '"ready":true' "$dir/$name.out" && continue 2
      sleep 0.05
    done
    echo "$name is not ready; see $dir/$name.log" >&2
    exit 1
  done
}

at() { echo "127.0.0.1:$((port + $1))"; }
read -ra domains <<<"${TRIAL_DOMAINS:-seeb bawshar muttrah amerat}"
read -ra roles <<<"${TRIAL_ROLES:-planner:9 dispatch:4}"
engines=()
for entry in "${roles[@]}"; do
  for _ in $(seq "${entry#*:}"); do engines+=("${entry%:*}${#engines[@]}"); done
done
platform=$(at 400)
list=""
add() { list+="${list:+,}$1"; }
for i in 0 1 2; do add "entry$i|entry|$(at $i)|$(at $((100 + i)))|${domains[$i]}||false"; done
for i in "${!engines[@]}"; do
  role=${engines[$i]%%[0-9]*}
  fencing=true
  [ $((i % 4)) -eq 3 ] && fencing=false # some endpoints do not support fencing
  domain=${domains[$((i % ${#domains[@]}))]}
  add "$role$i|engine|$(at $((500 + i)))|$(at $((500 + i)))|$domain|$role|$fencing"
  printf '[instance]\nid = %s\nfailure_domain = %s\n[platform]\nweights = %s\n[standin]\nlisten = %s\nfencing = %s\nstep = %s\nstep_per_request = %s\nprefill_rate = %s\nslots = %s\nrecord = %s\n' \
    "$role$i" "$domain" "$platform" "$(at $((500 + i)))" "$fencing" "$step" "$step_slot" "$prefill" "$slots" "$dir/$role$i.record" >"$dir/$role$i.ini"
done
for i in 0 1 2 3; do
  service=shifts
  [ "$i" -ge 2 ] && service=stock
  add "$service$i|service|$(at $((550 + i)))||${domains[$((i % ${#domains[@]}))]}|$service|false"
  printf '[instance]\nid = %s\n[standin]\nlisten = %s\nrecord = %s\n' "$service$i" "$(at $((550 + i)))" "$dir/$service$i.record" >"$dir/$service$i.ini"
done
printf '[instance]\nid = platform\n[standin]\nlisten = %s\ninstances = %s\nloads_a_second = %s\nlist_lag = 2s\n' "$platform" "$list" "$loads" >"$dir/platform.ini"
peers="$(at 100),$(at 101),$(at 102)"
for i in 0 1 2; do
  printf '[instance]\nid = entry%s\nfailure_domain = %s\n[platform]\nobjects = %s\ninstances = %s\nweights = %s\n[controller]\nlisten = %s\noperators = %s\npeers = %s\nloads_a_second = %s\nmove_weight = %s\n' \
    "$i" "${domains[$i]}" "$platform" "$platform" "$platform" "$(at $((100 + i)))" "$(at $((200 + i)))" "$peers" "$loads" "$moves" >"$dir/controller$i.ini"
  others=$(echo "$peers" | tr , '\n' | grep -v "^$(at $((100 + i)))$" | paste -sd,)
  printf '[instance]\nid = entry%s\nfailure_domain = %s\n[gateway]\nlisten = %s\ncontrollers = %s,%s\npolicy = %s\nadmission = %s\n' \
    "$i" "${domains[$i]}" "$(at $i)" "$(at $((100 + i)))" "$others" "$policy" "$admission" >"$dir/gateway$i.ini"
done
printf '[ctl]\ncontrollers = %s,%s,%s\n' "$(at 200)" "$(at 201)" "$(at 202)" >"$dir/ctl.ini"

start platform "$bin/rlb-standin" platform
for name in "${engines[@]}"; do start "$name" "$bin/rlb-standin" engine; done
for i in 0 1; do start "shifts$i" "$bin/rlb-standin" service; done
for i in 2 3; do start "stock$i" "$bin/rlb-standin" service; done
for i in 0 1 2; do start "controller$i" "$bin/rlb-controller"; done
for i in 0 1 2; do start "gateway$i" "$bin/rlb-gateway"; done
wait_ready

ctl="$bin/rlbctl --settings $dir/ctl.ini"
for _ in $(seq 50); do # fails until the controllers have the endpoints from the instance list
  if $ctl note publish --wait 10s "$note" >"$dir/publish.log" 2>&1; then break; fi
  sleep 0.2
done
cat "$dir/publish.log"
for _ in $(seq 200); do
  curl -s "http://$(at 0)/v1/models" | grep -q "\"id\":\"$model\",\"object\":\"model\",\"version\":\"v1\",\"ready\":true" && break
  sleep 0.1
done
echo ready
echo "curl -sN http://$(at 0)/v1/chat/completions -H 'Content-Type: application/json' -d '{\"model\":\"$model\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"next segment in Ruwi\"}]}'"
if [ -n "${TRIAL_THEN:-}" ]; then
  TRIAL_CTL="$ctl" TRIAL_DIR="$dir" TRIAL_PORT="$port" bash -c "$TRIAL_THEN"
  exit $?
fi
while :; do sleep 3600 & wait $!; done
