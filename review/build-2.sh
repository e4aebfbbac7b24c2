#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run after the
# build of the deploy file, which builds the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."

output=target/review-2
mkdir -p "$output"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2)
g++ "${flags[@]}" -c review/standins-2/stand_in.cc -o "$output/stand_in.o"
for source in review/[0-9]*/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" "$output/stand_in.o" -o "$output/$name"
done
