#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into build/review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../build/review
go build -o ../build/review/ ./standin
