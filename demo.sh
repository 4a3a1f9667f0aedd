#!/bin/sh
# Installs missing packages, builds, and runs two gateways against emulated hosts for 15 s.
set -eu
cd "$(dirname "$0")"
./install-packages.sh
# A separate build folder, because the platform builds in build/, without the laboratory.
cmake -B build-demo -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-demo -j"$(nproc)"
exec build-demo/gateway-lab demo "$@"
