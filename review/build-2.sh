#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o \
    "target/review-2/$(basename "$source" .cpp)" "$source"
done
