#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/review/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/harness .
