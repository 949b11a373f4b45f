#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 and later start. Needs no network once the modules are there.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../build/review
go build -o ../build/review/ ./standin-2
