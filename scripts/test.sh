#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are printed
# and skipped.
set -u
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
others=$(go list ./... | grep -v '/proof$')
go test -race -timeout 40m ${skip:+-skip="$skip"} ./proof -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"} &
proofs=$!
go test -race -p 2 -timeout 40m ${skip:+-skip="$skip"} $others -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"}
verdict=$?
wait "$proofs" || verdict=1
exit "$verdict"
