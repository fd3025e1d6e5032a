#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout --signal=TERM --kill-after=1 119 node case.mjs
code=$?
if [ "$code" -eq 0 ]; then exit 0; fi
if [ "$code" -eq 1 ] && grep -q 'result: rule broken' record.txt; then exit 1; fi
exit 2
