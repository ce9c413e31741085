#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; ONE_CRASH=1 leaves out the crash of the replica.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/vanillahinge-edge ] && [ -x target/review-2 ] || exit 2
exec target/review-2 commits-lost target/vanillahinge-edge review/6/record.txt
