#!/bin/sh
# Builds the stand-in that the scripts of review 3 start, into target/review-3.
set -e
cd "$(dirname "$0")/sim-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/sim3 .
