#!/bin/sh
# Exits with 1 if Fault is broken, 0 if it holds, 2 if the case cannot run.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
export ROOT
[ -x "$ROOT/target/standin-3" ] && [ -x "$ROOT/target/vanillahinge-edge" ] || exit 2
exec "$ROOT/target/standin-3" partial-store
