#!/bin/sh
# Builds with warnings as errors and runs all tests. With `sanitize`: under the address and
# undefined-behaviour sanitizers. KNOWN_RED names a list of tests to leave out (.ci/known-red); only CI sets it.
set -eu
cd "$(dirname "$0")"
./install-packages.sh
dir=build-test sanitize=OFF
if [ "${1:-}" = sanitize ]; then dir=build-sanitize sanitize=ON; fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror \
  -DGATEWAY_TESTS=ON -DGATEWAY_SANITIZE="$sanitize"
cmake --build "$dir" -j"$(nproc)"
exclude=
if [ -n "${KNOWN_RED:-}" ]; then
  exclude=$(.ci/all-tests "$dir" | .ci/known-red "$KNOWN_RED")
fi
ctest --test-dir "$dir" --output-on-failure --timeout 120 -j"$(nproc)" ${exclude:+--exclude-regex "$exclude"}
