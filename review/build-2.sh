#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs the build of the deploy file, whose HTTP library
# they use. Usage: review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -f target/review-2/*
libraries=(target/pistachio/libpistachio_http.a target/pistachio/libpistachio_runtime.a)
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++17 -O1 -Wall -Wextra -I. -o "target/review-2/$name" "$source" "${libraries[@]}" \
    -lmicrohttpd -lcurl -lspdlog -lfmt -lxxhash -lpthread &
done
wait
for source in review/standin-2/*.cpp; do
  [ -x "target/review-2/$(basename "$source" .cpp)" ] || exit 1
done
