#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/standin2 ./review/_standin2
