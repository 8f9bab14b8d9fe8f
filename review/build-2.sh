#!/bin/sh
# Builds the programs of the cases 6 to 10, stand-ins included, into build-review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp \
  review/10/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$source"
done
