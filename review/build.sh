#!/usr/bin/env bash
# Builds the drivers of the cases, with the stand-ins that they run, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c common/harness.cpp -o bin/harness.o
for source in */case.cpp; do
  name=${source%/case.cpp}
  g++ "${flags[@]}" "$source" bin/harness.o -lboost_json -o "bin/case$name"
done
