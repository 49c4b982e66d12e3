#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
