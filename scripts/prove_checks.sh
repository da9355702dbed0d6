#!/usr/bin/env bash
# Shows that the proofs can fail: switches one mechanism off at a time in a
# scratch copy (tests/mutants.txt), and runs the test that guards it.
# Usage: scripts/prove_checks.sh SCRATCH_FOLDER [NAME...]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$1
shift
rm -rf "$scratch"
git clone -q "$root" "$scratch"
cd "$scratch"
cmake --preset release >/dev/null
cmake --build --preset release | tail -n 1
missed=0
while IFS='@' read -r name file change test; do
  name=${name// /}
  file=${file// /}
  case $name in ''|'#'*) continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  read -r program filter <<<"$test"
  perl -0pi -e "$change" "$file"
  if git diff --quiet; then
    echo "$name: the change does not apply"
    missed=1
    continue
  fi
  if ! cmake --build --preset release >build.log 2>&1; then
    echo "$name: does not build: $(grep -m1 error: build.log)"
    missed=1
  elif "build/release/tests/$program" --filter "$filter" >test.log 2>&1; then
    echo "$name: NOT FOUND by $filter"
    missed=1
  else
    echo "$name: found by $filter: $(grep -cE '^violation' test.log || true) violations shown; $(grep -m1 -oE '\[----\]   [^ ].*' test.log | cut -c10- || true)"
  fi
  git checkout -q -- src
done <"$root/tests/mutants.txt"
exit $missed
