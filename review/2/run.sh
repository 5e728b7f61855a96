#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case2 ] && [ -x target/mimosabend ] || exit 2
timeout -k 1 115 review/bin/case2 "$PWD" "$PWD/review/2"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
