#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -I. "$@"
}
pids=()
objects=()
for source in review/standins-2/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  compile -c "$source" -o "$object" &
  pids+=("$!")
  objects+=("$object")
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for number in 6 7 8 9 10; do
  source="review/$number/play.cc"
  [ -f "$source" ] || continue
  compile "$source" "${objects[@]}" -o "$out/case$number" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
