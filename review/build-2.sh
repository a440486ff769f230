#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2, with
# the project's stand-ins that they use. The build of the deploy file has to run
# before: the programs are linked with its libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Itests -Ireview/rig-2 '-DAMARANTHWIND_BIN_DIR="target"')
for dir in libs/*/include platform/include; do
  flags+=("-I$dir")
done
common=(
  review/rig-2/Rig.cc review/rig-2/Executor.cc
  tests/harness/Address.cpp tests/harness/Process.cpp
  tests/standins/PlatformStore.cpp
)
objects=()
pids=()
for source in "${common[@]}"; do
  object="$out/$(basename "${source%.*}").o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
mapfile -t libraries < <(find target/libs -name '*.a' | sort)
for source in review/*/scenario.cc; do
  name="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/scenario-$name" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lboost_json -llog4cplus -lxxhash -lurcu-memb -lurcu-common -lurcu -lprometheus-cpp-core
done
