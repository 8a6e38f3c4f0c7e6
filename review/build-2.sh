#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
# They use the project's event loop and HTTP library from target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
harness=review/harness-2
g++ -std=c++20 -O1 -Wall -Wextra \
  -I packages/core/include -I packages/runtime/include \
  -I "$harness" $(pkg-config --cflags libevent liblog4cxx sigc++-3.0) \
  -o "$out/deadly-part-case" \
  "$harness/deadly_part_case.cc" "$harness/small_fleet.cc" \
  testing/tests/child_processes.cc \
  target/packages/runtime/libbambooquay_runtime.a \
  target/packages/core/libbambooquay_core.a \
  $(pkg-config --libs libevent liblog4cxx sigc++-3.0) -lopentracing -lhttp_parser
