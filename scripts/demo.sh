#!/usr/bin/env bash
# Brings up one deployment at today's size on loopback and drives load:
# the store, the targets of three regions, twelve entries, and callers.
# Usage: scripts/demo.sh merrimack|tussock [seconds] [utilization]
set -euo pipefail

deployment=${1:-tussock}
seconds=${2:-10}
utilization=${3:-0.5}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/build/release
cd "$root"
if [ ! -x "$bin/guavalined" ]; then
  scripts/install_packages.sh
  cmake --preset release >/dev/null
  cmake --build --preset release | tail -n 1
fi
work=$(mktemp -d)
export GUAVALINE_KEY=demo-key-0123456789
export GUAVALINE_STORE=127.0.43.1:7000
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

"$bin/guavaline" generate "$root/examples/$deployment.yaml" \
  --out "$work/configuration.yaml"
"$bin/guavaline" check "$work/configuration.yaml"
mkdir "$work/settings"
"$bin/guavaline" settings "$work/configuration.yaml" --out "$work/settings" \
  >/dev/null

"$bin/testing/guavaline-standin" store --listen "$GUAVALINE_STORE" &
pids+=($!)
target_pids=()
regions=$(sed -n 's/^  - name: //p;/^between/q' "$root/examples/$deployment.yaml")
for region in $regions; do
  "$bin/testing/guavaline-standin" targets --region "$region" \
    --configuration "$work/configuration.yaml" \
    --history "$work/$region.jsonl" &
  target_pids+=($!)
done
pids+=("${target_pids[@]}")
for settings in "$work"/settings/*.yaml; do
  "$bin/guavalined" --settings "$settings" 2>>"$work/entries.log" &
  pids+=($!)
done

# Entries start without a configuration; this one brings it into force.
for _ in $(seq 50); do
  if "$bin/guavaline" apply "$work/configuration.yaml" >"$work/apply.txt" 2>&1
  then break; fi
  sleep 0.2
done
tail -n 2 "$work/apply.txt"
# Entries rest their slots after a start, until earlier work has ended.
sleep 3

"$bin/testing/guavaline-load" run "$work/configuration.yaml" \
  --seconds "$seconds" --utilization "$utilization" \
  --history "$work/callers.jsonl" >/dev/null
for pid in "${target_pids[@]}"; do kill "$pid"; wait "$pid" || true; done
"$bin/testing/guavaline-load" check "$work/configuration.yaml" \
  "$work"/*.jsonl
