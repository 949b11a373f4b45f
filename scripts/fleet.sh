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
declare -A pids

rm -rf "$work"
mkdir -p "$work"

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# Stops one process as planned and reports how it ended.
stop_one() {
  local name=$1 status=0
  kill -TERM "${pids[$name]}" 2>/dev/null || true
  wait "${pids[$name]}" || status=$?
  unset "pids[$name]"
  if [ "$status" -ne 0 ]; then
    echo "$name ended with status $status:" >&2
    tail -5 "$work/$name.log" >&2
    return 1
  fi
}

stop_all() {
  local failed=0 name
  # VMs first, so that a planned stop has the platform and targets to end with.
  for name in $(printf '%s\n' "${!pids[@]}" | sort -r); do
    stop_one "$name" || failed=1
  done
  return "$failed"
}
trap 'stop_all || true' EXIT

settings() {
  local vm=$1 number=$2 centre=$3
  cat >"$work/$vm.ini" <<INI
[vm]
name = $vm
region = saurashtra
data-centre = $centre
[listen]
callers = 127.0.0.1:1810$number
peers = 127.0.0.1:1910$number
operators = 127.0.0.1:1710$number
[platform]
address = http://127.0.0.1:16000
beside-store = yes
[tls]
authority = $work/certificates/authority.pem
certificate = $work/certificates/$vm.pem
key = $work/certificates/$vm.key
[stop]
grace = 2s
INI
}

"$bin/standin" certify --directory "$work/certificates" \
  --name vm-01 --name vm-02 --name vm-03 --name operator
entries=()
balanced=()
for number in 1 2 3; do
  centre=saurashtra-$((number % 2 + 1))
  settings "vm-0$number" "$number" "$centre"
  entries+=("{\"Name\":\"vm-0$number\",\"Region\":\"saurashtra\",\"DataCentre\":\"$centre\",\"Callers\":\"127.0.0.1:1810$number\",\"Peers\":\"127.0.0.1:1910$number\",\"State\":\"live\"}")
  balanced+=(--vm "127.0.0.1:1810$number,127.0.0.1:1710$number")
done
(IFS=,; echo "[${entries[*]}]") >"$work/vms.json"

start platform "$bin/standin" platform --listen 127.0.0.1:16000 --vms "$work/vms.json"
for number in 1 2 3 4 5 6 7 8; do
  start "target-$number" "$bin/standin" upstream --listen "127.0.0.1:1700$number" --name "target-$number" --slots 4
done
for number in 1 2 3; do
  start "vm-0$number" "$bin/entry" --settings "$work/vm-0$number.ini"
done
start balancer "$bin/standin" balancer --listen 127.0.0.1:18000 "${balanced[@]}"

for _ in $(seq 100); do
  "$bin/operator" apply --settings settings --platform http://127.0.0.1:16000 >"$work/apply.log" 2>&1 && break
  sleep 0.1
done
cat "$work/apply.log"

probe() {
  "$bin/standin" probe --balancer http://127.0.0.1:18000 "$@"
}
status=0
probe --key sample-key-anand --read /kundsetu/due-lists --book /kundsetu/bookings \
  --target 127.0.0.1:17003 --target 127.0.0.1:17004 || status=1
probe --key sample-key-crato --read /swarm-line/sightings --book /swarm-line/dispatch \
  --target 127.0.0.1:17007 --target 127.0.0.1:17008 || status=1

if [ "$mode" = run ]; then
  echo "serving on http://127.0.0.1:18000 until interrupted; logs are in build/fleet"
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
