#!/usr/bin/env bash
# Checks what the cases' scripts need: the program of the deploy file, and
# stand-ins in Python, which need no build beyond a check of their syntax.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/guavaline-entry || {
  echo "build the program by deploy/system.toml first" >&2
  exit 2
}
for it in review/standins/*.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
