#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/$(basename "$source" .cc)" "$source"
done
