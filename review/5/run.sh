#!/usr/bin/env bash
# A key is taken away from a client that has a transaction open.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] || { echo "build review/build.sh first" >&2; exit 2; }
exec target/review/harness revoked-in-transaction target/vanillahinge-edge "review/5/record.txt"
