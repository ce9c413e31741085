#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
GOWORK=off GO111MODULE=off GOFLAGS= GOTOOLCHAIN=local go build -o target/standin-3 review/standin-3/*.go
