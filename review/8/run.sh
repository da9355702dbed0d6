#!/bin/sh
# Runs case 8. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/forgotten_pause
[ -x "$program" ] && [ -x target/guavaline-entry ] || exit 2
exec "$program" "${TROUBLE:-1}" review/8/record.txt
