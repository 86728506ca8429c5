#!/bin/sh
# Builds the stand-ins of the cases: plain JavaScript for Node.js without dependencies, which is only checked here.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
echo "stand-ins checked"
