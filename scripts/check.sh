#!/usr/bin/env bash
# Checks formatting, runs the linters and builds every module.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files -co --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "not formatted:" $unformatted >&2
  exit 1
fi
staticcheck=$PWD/build/bin/staticcheck
(cd tools && GOWORK=off go build -o "$staticcheck" honnef.co/go/tools/cmd/staticcheck)
for folder in $(scripts/modules.sh); do
  (cd "$folder" && go build ./... && go vet ./... && "$staticcheck" -checks all ./...)
done
echo "format, build and linters are clean"
