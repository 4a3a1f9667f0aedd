#!/bin/sh
# Builds the stand-ins and the test of each case, with the compiler alone.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
  case=$(dirname "$source")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -Istandins "$source" -o "build/case_$case"
done
