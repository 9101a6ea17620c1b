#!/usr/bin/env bash
# Two workers crash under a task that never failed; its submission is shown as failed.
# Usage: review/1/run.sh, after the build of the deploy file and review/build.sh. TROUBLE=0 plays
# it without the disruption. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 target/review/crashes review/1
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
