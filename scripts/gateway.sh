#!/usr/bin/env bash
# Starts a sample fleet of the users' platform on loopback: the store, six
# targets, four VMs in two data centres, and a load balancer. Sends a few requests.
#
#   scripts/gateway.sh run     keeps serving until interrupted
#   scripts/gateway.sh smoke   stops after the checks; fails if any check failed
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?usage: scripts/gateway.sh run|smoke}
bin=$PWD/build/bin
work=$PWD/build/gateway
digit=1 # first digit of the port numbers
source scripts/lib.sh
host=127.0.0.2 # another address than the fleet of scripts/fleet.sh, which uses the same ports
lock_ports gateway
store=$host:${digit}6000
balancer=$host:${digit}8000

trap 'stop_all || true' EXIT

vm_settings() {
  local number=$1 centre=$2
  cat >"$work/vm-0$number.ini" <<INI
[vm]
name = vm-0$number
region = saurashtra
data-centre = $centre
memory-mb = 284
descriptors = 4100
[fleet]
regions = rajkot-a:saurashtra, junagadh-b:saurashtra
[listen]
callers = $(callers "$number")
readiness = $(operators "$number")
operators = $host:${digit}710$((number + 4))
messages = $(peers "$number")
[store]
address = $store
INI
}

rm -rf "$work"
mkdir -p "$work"
start store "$bin/standin" store --listen "$store"
centres=(rajkot-a junagadh-b)
for number in 1 2 3 4 5 6; do
  service=due-lists
  [ "$number" -le 2 ] || service=bookings
  start "target-$number" "$bin/standin" target --listen "$(target "$number")" --store "$store" \
    --id "target-$number" --service "$service" --data-centre "${centres[number % 2]}" --linger 200ms
done
balanced=()
for number in 1 2 3 4; do
  vm_settings "$number" "${centres[number % 2]}"
  start "vm-0$number" "$bin/gateway" --settings "$work/vm-0$number.ini"
  balanced+=(--vm "$(callers "$number"),$(operators "$number")")
done
start balancer "$bin/standin" balancer --listen "$balancer" --path /-/readiness "${balanced[@]}"

status=0
booking=()
for number in 3 4 5 6; do booking+=(--target "$(target "$number")"); done
"$bin/standin" visit --balancer "$balancer" "${booking[@]}" || status=1

finish "$mode" "$status" "$balancer" build/gateway "smoke of the users' platform"
