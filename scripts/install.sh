#!/usr/bin/env bash
# Installs missing tools with apt: Spin, a C compiler, curl and flock.
set -euo pipefail
missing=()
command -v spin >/dev/null || missing+=(spin)
command -v gcc >/dev/null || missing+=(gcc libc6-dev)
command -v curl >/dev/null || missing+=(curl ca-certificates)
command -v flock >/dev/null || missing+=(util-linux)
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
