#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/samphireward-dispatcher.mjs ] && [ -f platform/dist/tests/fixtures/standin-store.js ] || exit 2
exec node review/9/run.mjs
