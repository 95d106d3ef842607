#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standin .
