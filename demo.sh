#!/bin/sh
# Installs what is missing, builds, and shows two gateways at work against emulated hosts for 15 s.
set -eu
cd "$(dirname "$0")"
./install-packages.sh
cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j"$(nproc)"
exec build/fennelridge-lab demo "$@"
