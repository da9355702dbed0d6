#!/usr/bin/env bash
# Runs every measurement that docs/MEASUREMENTS.md and docs/CAPACITY.md quote
# and leaves the outputs in a folder. Takes about five minutes.
# Usage: scripts/measure.sh OUTPUT_FOLDER
set -euo pipefail
out=$(mkdir -p "$1" && cd "$1" && pwd)
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release | tail -n 1
bin=build/release
{ git rev-parse --short HEAD; nproc; date -u +%FT%TZ; } >"$out/machine.txt"
"$bin/bench/relay_bench" >"$out/relay.txt"
"$bin/bench/decision_bench" --benchmark_min_time=0.2 >"$out/decisions.txt" 2>/dev/null
"$bin/testing/guavaline-load" spread >"$out/spread.txt"
for deployment in tussock merrimack; do
  "$bin/testing/guavaline-load" experiment \
    "bench/experiments/target_choice_$deployment.yaml" \
    --csv "$out/target_choice_$deployment.csv" \
    >"$out/target_choice_$deployment.txt"
  scripts/demo.sh "$deployment" 10 0.5 >"$out/demo_$deployment.txt" 2>&1
done
