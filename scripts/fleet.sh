#!/usr/bin/env bash
# Starts a sample fleet on loopback: the platform, eight targets, three VMs in
# two data centres, and a load balancer. Applies the sample settings and sends a
# few requests.
#
#   scripts/fleet.sh run     keeps serving until interrupted
#   scripts/fleet.sh smoke   stops after the checks; fails if any check failed
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?usage: scripts/fleet.sh run|smoke}
bin=$PWD/build/bin
work=$PWD/build/fleet
digit=1 # first digit of the port numbers
grace=2s
source scripts/lib.sh
lock_ports fleet

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

finish "$mode" "$status" "$balancer" build/fleet smoke
