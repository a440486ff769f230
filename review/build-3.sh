#!/usr/bin/env bash
# Builds the programs of the scripts of review/11 to review/15 into
# target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -I review -I tests)
for folder in libs/*/include platform/include; do
  flags+=(-I "$folder")
done
sources=(
  review/rig-3/Play.cc
  tests/standins/PlatformStore.cpp
  tests/standins/PlatformWorker.cpp
  tests/harness/Address.cpp
  tests/harness/Process.cpp
)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(basename "${source%.*}").o"
  g++ "${flags[@]}" -x c++ -c "$source" -o "$object" &
  objects+=("$object")
done
wait
libraries=(
  target/libs/frontend/libamaranthwind_frontend.a
  target/libs/codec/libamaranthwind_codec.a
  target/libs/net/libamaranthwind_net.a
  target/libs/base/libamaranthwind_base.a
)
for source in review/1[1-5]/play.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" -x c++ "$source" -x none "${objects[@]}" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lboost_json -lurcu-memb -lpthread -o "$out/play-$number"
done
