#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
for program in target/dillsaddle-node target/review/standin; do
  [ -x "$program" ] || { echo "$program isn't built"; exit 2; }
done
timeout -s KILL 118 target/review/standin store-away "$PWD" "$PWD/review/1"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
