#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: the project's own stand-in of the platform's
# store is TypeScript, the rest needs no build. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec node_modules/.bin/tsc -b
