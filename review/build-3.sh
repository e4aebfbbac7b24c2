#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "target/review-3/case-$name"
done
