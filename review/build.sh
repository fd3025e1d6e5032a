#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js and need no build; the state service is in target/, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
[ -f target/main.js ] || node scripts/build.mjs
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
