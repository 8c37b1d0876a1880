#!/bin/sh
# Exits with 1 if EVAC was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Takes about 50 s.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/rosemaryarch ] || [ ! -x target/review-standin ]; then
	echo "build the program and the stand-ins first" >&2
	exit 2
fi
exec target/review-standin evacuation "$here/record.txt"
