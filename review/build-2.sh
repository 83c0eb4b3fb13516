#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-2 .
