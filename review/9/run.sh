#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryarch ] && [ -x target/review-2 ] || { echo "build first: the deploy file's line and review/build-2.sh"; exit 2; }
timeout 118 target/review-2 stop-and-reload review/9/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
