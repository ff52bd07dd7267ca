#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/sim-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/sim-2 .
