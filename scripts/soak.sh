#!/usr/bin/env bash
# Runs VMs as processes under faults generated from seeds and checks what callers
# and targets observe; see docs/SOAK.md.
#
#   scripts/soak.sh                     runs the seeds in soak/seeds.txt
#   scripts/soak.sh 100 150 [options]   runs the seeds from 100 to 150
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT
pids=()
# Plays two soaks at a time and prints the output of each once it has ended.
play() {
  if [ "${#pids[@]}" -ge 2 ]; then
    finish
  fi
  build/bin/soak --program build/bin/gateway "$@" >"$outputs/$started" 2>&1 &
  pids+=($!)
  started=$((started + 1))
}
started=0
ended=0
finish() {
  wait "${pids[0]}" || failed=$((failed + 1))
  pids=("${pids[@]:1}")
  cat "$outputs/$ended"
  ended=$((ended + 1))
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
while [ "${#pids[@]}" -gt 0 ]; do
  finish
done
echo "$failed soaks failed"
[ "$failed" -eq 0 ]
