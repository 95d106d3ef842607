#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standin .
