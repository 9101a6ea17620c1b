#!/usr/bin/env bash
# Runs a case in a temporary folder. Usage: run-case.sh FOLDER PROGRAM. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case_folder=$1
program=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-3/$program" ] && [ -x target/tools/pistachiod ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
work=$(mktemp -d) || exit 2
timeout -k 2 118 "target/review-3/$program" target/tools/pistachiod "$work" "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
rm -rf "$work"
[ $code -le 2 ] || code=2
exit $code
