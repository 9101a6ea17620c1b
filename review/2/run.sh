#!/usr/bin/env bash
# Processes that stop answer 503 to submissions that they store and that then run.
# Usage: review/2/run.sh, after the build of the deploy file and review/build.sh. TROUBLE=0 plays
# it without the disruption. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 target/review/shutdown review/2
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
