#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 3 into target/review-3, after the build of deploy/system.toml. Usage: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
  g++ -std=c++17 -O1 -Wall "$source" -o "target/review-3/$(basename "$source" .cpp)" -lpthread
done
