#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 plays the same without the disruption. Usage: review/9/run.sh
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/crashes_in_turn
if [ ! -x "$program" ] || [ ! -x target/tools/pistachiod ]; then
  echo "build the deploy file's programs and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The hosts are children of the program and end with it.
timeout -k 1 118 "$program" review/9/record.txt "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
