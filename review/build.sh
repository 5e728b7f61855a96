#!/usr/bin/env bash
# Builds the drivers of the cases, with the stand-ins that they run, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
objects=()
for source in common/*.cpp; do
  object=bin/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in */case.cpp; do
  name=${source%/case.cpp}
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -o "bin/case$name"
done
