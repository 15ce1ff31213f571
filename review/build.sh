#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
sources=(review/standins/*.cc)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(basename "$source" .cc).o"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -I. -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/[0-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -I. "$source" "${objects[@]}" -o "$out/case$number" &
done
wait
