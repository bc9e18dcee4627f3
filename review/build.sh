#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/harness .
