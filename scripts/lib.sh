# Functions that start and stop the processes of a sample fleet on loopback.
# Scripts set these variables before they source this file:
#   bin     directory of the programs
#   work    directory for settings, certificates and logs
#   digit   first digit of the port numbers
#   grace   how long a VM still accepts requests after a planned stop begins
declare -A pids

# When the shell that started a process group ends, the kernel sends SIGHUP to
# the group if one of its processes is stopped. It must not kill a paused VM.
trap '' HUP

host=127.0.0.1
platform=http://$host:${digit}6000
balancer=http://$host:${digit}8000

callers() { echo "$host:${digit}810$1"; }
peers() { echo "$host:${digit}910$1"; }
operators() { echo "$host:${digit}710$1"; }
target() { echo "$host:${digit}700$1"; }

# Waits until no other run on this machine uses the same ports.
lock_ports() {
  exec {lock}>"${TMPDIR:-/tmp}/godwitramp-$1.lock"
  flock "$lock"
}

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# Stops one process with SIGTERM. Fails if its exit status is not 0.
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

# Stops all processes with SIGTERM, VMs first, because they need the platform and
# the targets for their planned stop.
stop_all() {
  local failed=0 name
  for name in $(printf '%s\n' "${!pids[@]}" | sort -r); do
    stop_one "$name" || failed=1
  done
  return "$failed"
}

# Ends the script: serves until interrupted, or stops the fleet and prints the
# result of the smoke test. Arguments: the mode, the status so far, the address
# of the balancer, the log directory and the name of the test.
finish() {
  local mode=$1 status=$2 balancer=$3 logs=$4 test=$5 name
  if [ "$mode" = run ]; then
    echo "serving on $balancer until interrupted; logs are in $logs"
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
  [ "$status" -eq 0 ] && echo "$test passed" || echo "$test failed"
  exit "$status"
}

# Writes the settings file of a VM. Arguments: its number and data centre.
settings() {
  local number=$1 centre=$2
  cat >"$work/vm-0$number.ini" <<INI
[vm]
name = vm-0$number
region = saurashtra
data-centre = $centre
[listen]
callers = $(callers "$number")
peers = $(peers "$number")
operators = $(operators "$number")
[platform]
address = $platform
beside-store = yes
[tls]
authority = $work/certificates/authority.pem
certificate = $work/certificates/vm-0$number.pem
key = $work/certificates/vm-0$number.key
[stop]
grace = $grace
INI
}

# Starts the platform, eight targets, VMs 1 to 3 and the balancer. Also writes the
# settings of VM 4, which is not on the platform's list and is not started.
start_fleet() {
  local number centre entries=() balanced=()
  rm -rf "$work"
  mkdir -p "$work"
  "$bin/standin" certify --directory "$work/certificates" \
    --name vm-01 --name vm-02 --name vm-03 --name vm-04 --name operator
  for number in 1 2 3 4; do
    centre=saurashtra-$((number % 2 + 1))
    settings "$number" "$centre"
    [ "$number" -le 3 ] || continue
    entries+=("{\"Name\":\"vm-0$number\",\"Region\":\"saurashtra\",\"DataCentre\":\"$centre\",\"Callers\":\"$(callers "$number")\",\"Peers\":\"$(peers "$number")\",\"State\":\"live\"}")
    balanced+=(--vm "$(callers "$number"),$(operators "$number")")
  done
  (IFS=,; echo "[${entries[*]}]") >"$work/vms.json"
  start platform "$bin/standin" platform --listen "${platform#http://}" --vms "$work/vms.json"
  for number in 1 2 3 4 5 6 7 8; do
    start "target-$number" "$bin/standin" upstream --listen "$(target "$number")" --name "target-$number" --slots 4
  done
  for number in 1 2 3; do
    start "vm-0$number" "$bin/entry" --settings "$work/vm-0$number.ini"
  done
  start balancer "$bin/standin" balancer --listen "${balancer#http://}" "${balanced[@]}"
}
