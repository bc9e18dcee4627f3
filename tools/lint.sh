#!/usr/bin/env bash
# Checks formatting and runs the linter in each module.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
linter="${AZUREDOOR_TOOLS:-$HOME/.cache/azuredoor/bin}/golangci-lint"
unformatted=$(git ls-files -co --exclude-standard '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted by gofmt:" "$unformatted"
  exit 1
fi
for module in core entry control ctl standin bench itest platform soak; do
  [ -n "$(find "$module" -name '*.go' -print -quit)" ] || continue
  echo "lint $module"
  (cd "$module" && "$linter" run --allow-parallel-runners --config "$root/.golangci.yml" ./...)
done
