#!/usr/bin/env bash
# Runs every test with the race detector. A test listed in KNOWN-RED.txt may
# fail: it is run apart and printed, and only those are passed over.
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
# It is skipped by its name, of a Ginkgo spec or of a Go test.
skip=$(IFS='|'; echo "${known[*]-}")
# The proofs on real processes wait more than they work, so that they run beside
# the other packages, which are two at a time.
others=$(go list ./... | grep -v '/proof$')
go test -race -timeout 40m ${skip:+-skip="$skip"} ./proof -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"} &
proofs=$!
go test -race -p 2 -timeout 40m ${skip:+-skip="$skip"} $others -ginkgo.seed=1 ${skip:+-ginkgo.skip="$skip"}
verdict=$?
wait "$proofs" || verdict=1
exit "$verdict"
