#!/usr/bin/env bash
# Measures controllers at several deployment sizes and writes one JSON line per size.
# Usage: capacity.sh FILE "CONTROLLERS ENGINES DOMAINS RESIDENTS"...
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
shift
: >"$out"
for size in "$@"; do
  read -r c e d r <<<"$size"
  flags=(--controllers "$c" --engines "$e" --domains "$d" --residents "$r")
  bin/rlb-load capacity standins "${flags[@]}" >/dev/null &
  standins=$!
  sleep 1
  bin/rlb-load capacity members "${flags[@]}" | tee -a "$out"
  kill -TERM "$standins"
  wait "$standins" || true
done
