#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for source in */case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I standins -o "$out/case-$number" "$source"
done
