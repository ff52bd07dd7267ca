#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin .
