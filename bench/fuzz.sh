#!/bin/sh
# Fuzzes the parsers of the fleet's datagrams and payloads (tests/membership/fuzz_datagram.cpp) with libFuzzer under the address
# and undefined-behaviour sanitizers: bench/fuzz.sh [INPUTS] [SEED]. Exits with libFuzzer's code; 0: no crash.
set -eu
cd "$(dirname "$0")/.."
inputs=${1:-1000000} seed=${2:-1}
clang=$(command -v clang++ || command -v clang++-14)
mkdir -p build-fuzz/corpus
"$clang" -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -Isrc \
  tests/membership/fuzz_datagram.cpp $(ls src/membership/*.cpp | grep -v transport) \
  src/fleet_state/*.cpp -o build-fuzz/datagram
cd build-fuzz
FUZZ_SEEDS=$PWD/corpus exec ./datagram -runs="$inputs" -seed="$seed" -max_len=1400 -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 corpus
