#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Usage: review/build.sh
# Needs g++ and nlohmann-json, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  g++ -std=c++17 -O1 -Wall -pthread -o "target/review/$(basename "$source" .cpp)" "$source" &
done
wait
ls target/review
