#!/usr/bin/env bash
# Runs VMs as processes under faults generated from seeds and checks what callers
# and targets observe; see docs/SOAK.md.
#
#   scripts/soak.sh                     runs the seeds in soak/seeds.txt
#   scripts/soak.sh 100 150 [options]   runs the seeds from 100 to 150
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
play() {
  build/bin/soak --program build/bin/gateway "$@" || failed=$((failed + 1))
}
if [ $# -ge 2 ]; then
  first=$1
  last=$2
  shift 2
  for ((seed = first; seed <= last; seed++)); do
    play --seed "$seed" "$@"
  done
else
  while read -r seed duration size _; do
    play --seed "$seed" --duration "$duration" --size "$size"
  done < <(grep -v '^#' soak/seeds.txt)
fi
echo "$failed soaks failed"
[ "$failed" -eq 0 ]
