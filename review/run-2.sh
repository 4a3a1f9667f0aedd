#!/bin/sh
# Runs one case of the second review: run-2.sh N. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
program=build-review-2/case-$1
record=$PWD/review/$1/record.txt
if [ ! -x build/gateway ] || [ ! -x "$program" ]; then
  echo "build first: the build of deploy/balancer.toml and review/build-2.sh" >&2
  exit 2
fi
rm -f "$record"
timeout -k 2 115 "$program" "$record"
code=$?
[ "$code" -le 2 ] || code=2
[ ! -f "$record" ] || tail -n 1 "$record"
exit "$code"
