#!/usr/bin/env bash
# Runs the tests of every module with and without the race detector. Failures of
# tests listed in KNOWN-RED.txt are printed but do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
log=build/test.log
mkdir -p build
: >"$log"
for folder in $(scripts/modules.sh); do
  for race in "" -race; do
    (cd "$folder" && go test $race -count=1 -v ./... 2>&1) >>"$log" || true
  done
done
passed=$(grep -cE '^ *--- PASS: ' "$log" || true)
failures=$(grep -E '^ *--- FAIL: |^FAIL\s+\S+ \[(build|setup) failed\]|^panic:|WARNING: DATA RACE' "$log" | sort -u || true)
known=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null || true)
unexpected=""
while IFS= read -r line; do
  [ -n "$line" ] || continue
  name=$(sed -E 's/^ *--- FAIL: ([^ ]+).*/\1/' <<<"$line")
  if grep -qxF "$name" <<<"$known"; then
    echo "known red: $line"
  else
    unexpected+="$line"$'\n'
  fi
done <<<"$failures"
# A package may fail without a failing test, for instance when TestMain exits.
if grep -qE '^FAIL' "$log" && [ -z "$failures" ]; then
  unexpected+=$(grep -E '^FAIL' "$log")
fi
failed=$(grep -c . <<<"$unexpected" || true)
if [ -n "$unexpected" ]; then
  grep -vE '^ *(=== |--- PASS|PASS|ok )' "$log" | tail -200
  printf 'failed:\n%s\n' "$unexpected"
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
