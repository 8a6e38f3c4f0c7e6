#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review, after the
# build of the deploy file: links the libraries that it has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
includes=(-I. -Ipackages/core/include -Ipackages/runtime/include)
flags=(-std=c++20 -O1 -Wall -Wextra "${includes[@]}")
libraries=(target/packages/runtime/libbambooquay_runtime.a
  target/packages/core/libbambooquay_core.a)
mapfile -t packages < <(pkg-config --cflags --libs libevent liblog4cxx \
  sigc++-3.0 inih libsodium | tr ' ' '\n' | sed '/^$/d')
g++ "${flags[@]}" -c review/harness/fleet.cc -o target/review/fleet.o \
  "${packages[@]}"
for source in review/[1-5]/*.cc review/uncounted/*.cc; do
  [ -f "$source" ] || continue
  program=target/review/$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" target/review/fleet.o -o "$program" \
    "${libraries[@]}" "${packages[@]}" -lopentracing -lhttp_parser
done
