#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done
