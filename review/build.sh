#!/usr/bin/env bash
# Builds what the scripts of the cases start, into target/review. Needs the
# packages of the deploy file only; the daemon itself is built by the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -c review/Rig.cc -o target/review/rig.o &
pids=($!)
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview -c "$source" \
    -o "target/review/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for object in target/review/[0-9]*.o; do
  g++ "$object" target/review/rig.o -o "${object%.o}" -lboost_json -lpthread
done
