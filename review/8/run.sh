#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/dragonflypick ] && [ -x target/review2/standin2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec timeout --kill-after=5 115 target/review2/standin2 drill "$here/record.txt"
