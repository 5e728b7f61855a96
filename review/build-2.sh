#!/usr/bin/env bash
# Builds the cases of the second review, with all their stand-ins, in target/review-2/. Needs the
# build of the deploy file for the programs that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra)
for part in harness engine; do
  g++ "${flags[@]}" -c "review/common-2/$part.cpp" -o "target/review-2/$part.o" &
done
wait
for number in 6 7 8 9 10; do
  [ -e "review/$number/case.cpp" ] || continue
  g++ "${flags[@]}" "review/$number/case.cpp" target/review-2/engine.o target/review-2/harness.o \
    -o "target/review-2/case-$number" -lboost_json -lpthread &
done
wait
