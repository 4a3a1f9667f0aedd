#!/bin/sh
# Builds the stand-ins and scenarios of the second review (cases 6 to 10) into build-review-2/.
# The gateway itself is built by the command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/[0-9]*/scenario.cpp; do
  name=$(basename "$(dirname "$source")")
  echo "building case $name"
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2 "$source" \
    -o "build-review-2/case-$name"
done
