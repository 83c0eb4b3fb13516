#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin/*.go
