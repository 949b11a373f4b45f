#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into build/review/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../build/review
go build -o ../build/review/ ./standin-3
