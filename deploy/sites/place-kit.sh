#!/bin/sh
# Puts the kit's files that a site file needs beside the variants here; git ignores them. Needs the kit in ../given.
set -u
cd "$(dirname "$0")" || exit 2
kit=../../../given/kit/more/mass/other
for file in real.json wire.json unlock.txt; do
  if [ ! -r "$kit/$file" ]; then echo "place-kit.sh: $kit/$file is missing" >&2; exit 2; fi
done
cp -f "$kit/real.json" "$kit/wire.json" "$kit/unlock.txt" .
