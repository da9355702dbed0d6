#!/usr/bin/env bash
# Builds and passes the tests. Tests listed in KNOWN-RED.txt are printed and
# do not fail the run; all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
presets=${GUAVALINE_PRESETS:-release sanitize}
failed=0

# Runs one Criterion program; passes over the tests that KNOWN-RED.txt names.
run_suite() {
  local program=$1 log
  shift
  log=$(mktemp)
  "$program" "$@" >"$log" 2>&1 || true
  grep -E '^(violation: |cut: |\[(FAIL|----|====|CRASH)\])' "$log" || true
  if ! grep -q 'Synthesis' "$log"; then
    tail -n 40 "$log"
    failed=1
  fi
  local name
  while read -r name; do
    if grep -q "^test: $name\$" KNOWN-RED.txt; then
      echo "known red, passed over: $name"
    else
      echo "FAILED: $name ($program)"
      failed=1
    fi
  done < <(sed -nE 's/^\[(FAIL|CRASH)\] ([a-z0-9_]+::[a-z0-9_]+).*/\2/p' "$log" | sort -u)
  rm -f "$log"
}

echo "== the users' platform builds the program by deploy/system.toml"
build_line=$(sed -nE 's/^build = "(.*)"$/\1/p' deploy/system.toml)
bash -c "$build_line" >/dev/null
target/guavaline-entry --version

for preset in $presets; do
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" | tail -n 1
  echo "== unit tests ($preset)"
  run_suite "build/$preset/tests/unit_tests"
  echo "== failure tests ($preset)"
  # A deployment of sanitized entries needs about three cores.
  jobs=3
  if [ "$preset" = sanitize ]; then jobs=2; fi
  run_suite "build/$preset/tests/failure_tests" "-j$jobs"
  echo "== fault soak ($preset)"
  while read -r seed why; do
    case $seed in '' | '#'*) continue ;; esac
    log=$(mktemp)
    if ! "build/$preset/testing/guavaline-soak" --seed "$seed" --trouble 8 \
         >"$log" 2>&1; then
      if grep -q "^test: soak seed $seed\$" KNOWN-RED.txt; then
        echo "known red, passed over: soak seed $seed"
      else
        echo "FAILED: soak seed $seed ($preset)"
        failed=1
      fi
    fi
    grep -E '^(violation: |seed )' "$log" || tail -n 5 "$log"
    rm -f "$log"
  done <tests/soak_seeds.txt
done
echo "== known red"
grep -E '^test: ' KNOWN-RED.txt || echo "none"
exit $failed
