#!/usr/bin/env bash
# The primary of a service with sync_replicas crashes while one replica leaves and the other one receives nothing.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] || { echo "build review/build.sh first" >&2; exit 2; }
exec target/review/harness sync-commit-lost target/vanillahinge-edge "review/2/record.txt"
