#!/bin/sh
# Installs the packages for building and testing with apt-get if any of them is missing. Debian 12.
set -eu
missing=
for tool in g++ cmake ninja clang-format clang-tidy run-clang-tidy; do command -v "$tool" >/dev/null || missing="$missing $tool"; done
for header in gtest/gtest.h boost/beast/version.hpp boost/histogram.hpp boost/random.hpp nlohmann/json.hpp \
  CLI/CLI.hpp xxhash.h spdlog/spdlog.h rapidcheck.h benchmark/benchmark.h; do
  [ -e "/usr/include/$header" ] || missing="$missing $header"
done
[ -n "$missing" ] || exit 0
echo "installing packages for missing:$missing"
root=
[ "$(id -u)" = 0 ] || root=sudo
$root apt-get update -q
DEBIAN_FRONTEND=noninteractive $root apt-get install -qy \
  g++ cmake ninja-build clang-format clang-tidy libgtest-dev libbenchmark-dev libboost-dev \
  nlohmann-json3-dev libcli11-dev libxxhash-dev libspdlog-dev librapidcheck-dev
