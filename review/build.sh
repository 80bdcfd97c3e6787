#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -C review/standin -o ../../target/review/standin .
