#!/bin/sh
# Runs one case: run_case.sh NUMBER. Called by the run.sh of each case.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
program=$here/build/case_$1
if [ ! -x "$program" ] || [ ! -x "$root/build/gateway" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
REVIEW_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
REVIEW_ROOT=$root
REVIEW_RECORD=$here/$1/record.txt
REVIEW_FOLDER=$(mktemp -d)
export REVIEW_COMMAND REVIEW_ROOT REVIEW_RECORD REVIEW_FOLDER
# The gateway gets SIGKILL when the program that started it ends.
timeout -k 2 115 "$program"
result=$?
rm -rf "$REVIEW_FOLDER"
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
