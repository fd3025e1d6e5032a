#!/bin/sh
# Builds what the cases 4 to 8 start. The controllers and the state service are in target/main.js, the result of the deploy
# file's build; the other stand-ins (review/lib-2) are plain JavaScript and need no build, so they are only checked.
set -e
cd "$(dirname "$0")/.."
[ -f target/main.js ] || node scripts/build.mjs
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do node --check "$file"; done
