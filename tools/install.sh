#!/usr/bin/env bash
# Installs the pinned linter into the shared tool folder unless it is there.
set -euo pipefail
export GOBIN="${AZUREDOOR_TOOLS:-$HOME/.cache/azuredoor/bin}"
version=v2.15.0
if ! "$GOBIN/golangci-lint" version 2>/dev/null | grep -q "${version#v}"; then
  GOWORK=off go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
