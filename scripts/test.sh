#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are printed
# and skipped. Reports of failed specs are printed again at the end.
set -u -o pipefail
cd "$(dirname "$0")/.." || exit 2
known=()
if [ -f KNOWN-RED.txt ]; then
  while IFS=$'\t' read -r test cause issue; do
    [ -n "$test" ] || continue
    known+=("$test")
    echo "known red: $test ($cause, issue $issue)"
  done <KNOWN-RED.txt
fi
# Matches the names of Ginkgo specs and of Go tests.
skip=$(IFS='|'; echo "${known[*]-}")
# The proofs run real processes and mostly wait, so they run in parallel with the
# other packages, of which two run at a time.
output=$(mktemp) || exit 2
trap 'rm -f "$output"' EXIT
others=$(go list ./... | grep -v '/proof$')
go test -race -timeout 40m ${skip:+-skip="$skip"} ./proof -ginkgo.no-color -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"} 2>&1 | tee -a "$output" &
proofs=$!
go test -race -p 2 -timeout 40m ${skip:+-skip="$skip"} $others -ginkgo.no-color -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"} 2>&1 | tee -a "$output"
verdict=$?
wait "$proofs" || verdict=1
if [ "$verdict" -ne 0 ]; then
  echo "failed:"
  grep -E '^(FAIL|--- FAIL|panic:|WARNING: DATA RACE)' "$output"
  awk '/\[FAILED\] \[/ { shown = 1 } /^----------/ { shown = 0 } shown' "$output" | cut -c1-600
fi
exit "$verdict"
