#!/bin/sh
# The stand-ins of review/standins-3 and the scripts of the cases 11 to 15 are plain JavaScript for Node.js and need no
# dependency and no build. This only checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
