#!/usr/bin/env bash
# Starts a sample fleet on loopback: the platform, eight targets, three VMs in
# two data centres, and a balancer. Applies the sample settings and sends a few
# requests.
#
#   scripts/fleet.sh run     keeps serving until interrupted
#   scripts/fleet.sh smoke   stops after the checks; fails if anything failed
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?usage: scripts/fleet.sh run|smoke}
bin=$PWD/build/bin
work=$PWD/build/fleet
digit=1 # first digit of the ports
grace=2s
source scripts/lib.sh
lock_ports fleet

stop_all() {
  local failed=0 name
  # VMs first, so that a planned stop has the platform and targets to end with.
  for name in $(printf '%s\n' "${!pids[@]}" | sort -r); do
    stop_one "$name" || failed=1
  done
  return "$failed"
}
trap 'stop_all || true' EXIT

start_fleet

for _ in $(seq 100); do
  "$bin/operator" apply --settings settings --platform "$platform" >"$work/apply.log" 2>&1 && break
  sleep 0.1
done
cat "$work/apply.log"

probe() {
  "$bin/standin" probe --balancer "$balancer" "$@"
}
status=0
probe --key sample-key-anand --read /kundsetu/due-lists --book /kundsetu/bookings \
  --target "$(target 3)" --target "$(target 4)" || status=1
probe --key sample-key-crato --read /swarm-line/sightings --book /swarm-line/dispatch \
  --target "$(target 7)" --target "$(target 8)" || status=1

if [ "$mode" = run ]; then
  echo "serving on $balancer until interrupted; logs are in build/fleet"
  trap 'exit 0' INT TERM
  wait
  exit 0
fi
trap - EXIT
for name in "${!pids[@]}"; do
  if ! kill -0 "${pids[$name]}" 2>/dev/null; then
    echo "$name ended before it was stopped" >&2
    status=1
  fi
done
stop_all || status=1
[ "$status" -eq 0 ] && echo "smoke passed" || echo "smoke failed"
exit "$status"
