#!/usr/bin/env bash
# Builds the cases of the second review, with all their stand-ins, in target/review-2/. Needs the
# build of the deploy file for the programs that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c review/common-2/harness.cpp -o target/review-2/harness.o
for number in 6 7 8 9; do
  g++ "${flags[@]}" "review/$number/case.cpp" target/review-2/harness.o \
    -o "target/review-2/case-$number" -lboost_json -lpthread
done
