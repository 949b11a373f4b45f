#!/usr/bin/env bash
# Injects failures into a sample fleet of separate processes on loopback and
# checks what callers and operators observe. Prints one line per scenario.
#
#   scripts/failures.sh              runs every scenario
#   scripts/failures.sh rates kill   runs these scenarios only
#
# FAILURES_DIGIT is the first digit of the port numbers, 2 by default.
# Logs of the last run of a scenario are in build/failures-$digit/<scenario>.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
digit=${FAILURES_DIGIT:-2}
grace=5s
declarations=$PWD/build/failures-$digit/settings
key=sample-key-anand
slow_key=sample-key-bhuj
read_path=/kundsetu/due-lists
book_path=/kundsetu/bookings
source scripts/lib.sh

# Kills all processes of a scenario, including stopped ones.
kill_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
    unset "pids[$name]"
  done
}
trap kill_all EXIT

fail() {
  echo "$*" >"$work/failure"
  exit 1
}

# Polls until a command succeeds. The timeout only prevents hanging.
until_true() {
  local end=$((SECONDS + 60))
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || fail "never became true: $*"
    sleep 0.1
  done
}

operator() {
  "$bin/operator" "$@" --platform "$platform" >>"$work/operator.log" 2>&1
}

# Runs the operators' command and prints its exit code.
exit_of() {
  local status=0
  operator "$@" || status=$?
  echo "$status"
}

# Sets the faults that the platform or a target injects.
faults() { curl -sSf -o "$work/faults.log" --data "$2" "$1/stand-in/faults"; }

now() { date +%s%N; }

load() {
  "$bin/standin" load "$@"
}

# Starts a load generator in the background that writes its lines to <name>.log.
start_load() {
  local name=$1
  shift
  start "$name" "$bin/standin" load "$@"
}

# Counts the lines of load logs for which an awk condition holds. The fields are
# started, finished, status, outcome, vm, marker, reused and end.
count() {
  local condition=$1 files=()
  shift
  for name in "$@"; do files+=("$work/$name.log"); done
  awk "$condition { n++ } END { print n + 0 }" "${files[@]}"
}

at_least() { [ "$(count "$2" "$3")" -ge "$1" ]; }

none() {
  local what=$1 found
  shift
  found=$(count "$@")
  [ "$found" -eq 0 ] || fail "$found $what"
}

audit() {
  "$bin/standin" audit --lines "$work/$1.log" --target "$(target 3)" --target "$(target 4)" \
    >"$work/audit.log" 2>&1 || fail "$1: $(sed -n 2p "$work/audit.log")"
}

# Fails if a process of the fleet has ended, for instance because another fleet
# uses its port.
check_alive() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended: $(tail -1 "$work/$name.log")"
  done
}

begin() {
  start_fleet
  until_true operator apply --settings "$declarations"
  check_alive
  until_true reads 20 "$balancer"
}

# Succeeds if that many consecutive reads succeed.
reads() {
  load --base "$2" --path "$read_path" --key "$key" --count "$1" --fresh >"$work/reads.log" 2>&1
  [ "$(count '$3 == 200 && $8 == "whole"' reads)" -eq "$1" ]
}

# A withdrawn key stops working also on connections that stay open.
scenario_withdraw() {
  local number forced
  for number in 1 2 3; do
    start_load "load-$number" --base "http://$(callers "$number")" --path "$read_path" --key "$key"
    until_true at_least 20 '$3 == 200' "load-$number"
  done
  [ "$(exit_of key withdraw /kundsetu/organisations/anand-crews/keys/first)" = 0 ] || fail "withdrawal is not in force"
  forced=$(now)
  for number in 1 2 3; do
    until_true at_least 20 "\$1 > $forced && \$3 == 401 && \$7 == \"true\"" "load-$number"
    stop_one "load-$number"
  done
  none "requests after the withdrawal were not refused as not-run" \
    "\$1 > $forced && !(\$3 == 401 && \$4 == \"not-run\" && \$8 == \"whole\")" load-1 load-2 load-3
}

# After a VM is killed, no read fails once the balancer has stopped using it. No
# booking runs twice or after a refusal, even if a target runs it and loses the
# answer.
scenario_kill() {
  start_load bookings --base "$balancer" --method POST --path "$book_path" --key "$key" --workers 3 --fresh
  until_true at_least 50 '$3 == 200' bookings
  faults "http://$(target 3)" '{"CloseAfterRead":true}'
  until_true at_least $(($(count 1 bookings) + 100)) 1 bookings
  kill -KILL "${pids[vm-02]}"
  until_true reads 30 "$balancer"
  reads 300 "$balancer" || fail "reads failed after the balancer had moved on"
  faults "http://$(target 3)" '{}'
  until_true at_least 500 '$3 == 200' bookings
  stop_one bookings
  none "answers to other requests" '$8 == "wrong"' bookings
  audit bookings
}

# A VM that was paused while a key was withdrawn never accepts the key.
scenario_freeze() {
  local forced
  kill -STOP "${pids[vm-02]}"
  [ "$(exit_of key withdraw /kundsetu/organisations/anand-crews/keys/first)" = 0 ] || fail "withdrawal is not in force"
  forced=$(now)
  # These requests wait in the sockets of the paused VM until it resumes.
  start_load frozen --base "http://$(callers 2)" --path "$read_path" --key "$key" --workers 8 --pause 0s --fresh
  sleep 0.2
  kill -CONT "${pids[vm-02]}"
  until_true at_least 50 "\$1 > $forced && \$3 == 401" frozen
  stop_one frozen
  none "requests with the withdrawn key were not refused as not-run" '!($4 == "not-run" && $8 == "whole")' frozen
}

# Counts the recorded changes with a given comment.
recorded() {
  "$bin/operator" history --platform "$platform" --output json | grep -c "\"$1\"" || true
}

# While the store is unavailable or loses its answers, no read fails and no
# change is recorded twice.
scenario_store() {
  local changed=$work/changed status
  cp -r "$declarations" "$changed"
  sed -i 's/timeout = 5s/timeout = 6s/' "$changed"/kundsetu/services.ini
  # Until the parts of the rates have reached their collector, the first seconds of a fleet
  # refuse requests as over the rate, whether or not the store is available.
  until_true reads 300 "$balancer"
  start_load during --base "$balancer" --path "$read_path" --key "$key" --fresh
  faults "$platform" '{"Outage":true}'
  status=$(exit_of apply --settings "$changed" --comment during-outage)
  [ "$status" = 7 ] || fail "apply ended with $status while the store was away, want 7"
  start vm-04 "$bin/entry" --settings "$work/vm-04.ini" --set "peers.seeds=$(peers 1),$(peers 2)"
  until_true reads 20 "http://$(callers 4)"
  sleep 4 # until reads of the store before the outage no longer count as evidence
  faults "$platform" '{"LoseAnswers":true}'
  status=$(exit_of apply --settings "$changed" --comment answer-lost --wait 1s)
  case $status in 0 | 5 | 6) ;; *) fail "apply ended with $status while answers were lost, want 0, 5 or 6" ;; esac
  faults "$platform" '{}'
  stop_one during
  [ "$(recorded during-outage)" = 0 ] || fail "a change that was reported as not recorded is in the history"
  [ "$(recorded answer-lost)" = 1 ] || fail "the change is $(recorded answer-lost) times in the history, want once"
  none "reads failed while the store was away" '!($3 == 200 && $8 == "whole")' during
}

# A planned stop interrupts no request, neither on reused connections nor on new
# ones.
scenario_stop() {
  start_load kept --base "http://$(callers 2)" --next "$balancer" --method POST --path "$book_path" --key "$key" --workers 2
  start_load balanced --base "$balancer" --method POST --path "$book_path" --key "$key" --fresh
  until_true at_least 50 '$3 == 200' kept
  until_true at_least 50 '$3 == 200' balanced
  stop_one vm-02 || fail "the VM did not stop as planned"
  until_true at_least 50 '$3 == 200 && $5 != "vm-02"' kept
  stop_one kept
  stop_one balanced
  none "requests on kept connections were cut" '$8 != "whole"' kept
  none "requests through the balancer had no whole answer" '$8 != "whole"' balanced
  none "refusals do not say not-run" '$8 == "whole" && $3 != 200 && $4 != "not-run"' kept balanced
  audit kept
  audit balanced
}

admitted() {
  load --base "$balancer" --path "$read_path" --key "$slow_key" --count 1 --fresh >"$work/admitted.log" 2>&1
  at_least 1 '$3 == 200' admitted
}

# The requests admitted for an organisation by all VMs together stay within its
# rate and burst.
scenario_rates() {
  local number served bound
  until_true admitted
  for number in 1 2 3; do
    start_load "flood-$number" --base "http://$(callers "$number")" --path "$read_path" --key "$slow_key" --workers 2
  done
  sleep 4
  for number in 1 2 3; do stop_one "flood-$number"; done
  served=$(count '$3 == 200' flood-1 flood-2 flood-3)
  bound=$(awk '{ if (!first || $1 < first) first = $1; if ($2 > last) last = $2 }
    END { print int(5 + 5 * (last - first) / 1e9) }' "$work"/flood-[123].log)
  echo "rates: $served requests were admitted, the rate and burst allow $bound"
  [ "$served" -gt 0 ] || fail "no request was admitted"
  [ "$served" -le "$bound" ] || fail "$served requests were admitted, the rate and burst allow $bound"
}

lock_ports "failures-$digit"

mkdir -p "$declarations"
cp -r settings/. "$declarations"
sed -i "s/127\.0\.0\.1:1/$host:$digit/; s/^rate = 50$/rate = 5000/; s/^burst = 100$/burst = 5000/" "$declarations"/*/*.ini

[ $# -gt 0 ] || set -- withdraw kill freeze store stop rates
passed=0
failed=0
for scenario in "$@"; do
  work=$PWD/build/failures-$digit/$scenario
  # Each scenario runs in a subshell, which kills its processes at its end. It
  # is not the condition of an if because set -e would have no effect there.
  set +e
  (set -e; trap kill_all EXIT; begin; "scenario_$scenario")
  status=$?
  set -e
  if [ "$status" -eq 0 ]; then
    echo "$scenario: passed"
    passed=$((passed + 1))
  else
    echo "$scenario: FAILED: $(cat "$work/failure" 2>/dev/null || echo "see $work")"
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
