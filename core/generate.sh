#!/usr/bin/env bash
# Regenerates fleetpb from fleet.proto. Needs protoc, protoc-gen-go and protoc-gen-go-grpc on PATH.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleetpb/fleet.proto
