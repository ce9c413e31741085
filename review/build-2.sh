#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2 .
