#!/usr/bin/env bash
# Checks the specifications with Spin: every property holds in the whole state
# space, and each mistake listed in a specification violates a property.
set -euo pipefail
cd "$(dirname "$0")/.."
model=$PWD/model
work=$PWD/build/model
mkdir -p "$work"

# Explores one specification and prints the number of errors, or "incomplete".
explore() {
  local name=$1 define=$2 order=$3 folder=$work/$1-$2
  mkdir -p "$folder"
  (
    cd "$folder"
    spin -a "-D$define" "$model/$name.pml" >spin.log
    gcc -O2 -DSAFETY $order -o pan pan.c 2>gcc.log
    ./pan -m2000000 -n -w25 >pan.log
    if grep -qE 'search depth too small|out of memory|Search not completed' pan.log && ! grep -q 'errors: 1' pan.log; then
      echo incomplete
    else
      sed -nE 's/.*errors: ([0-9]+).*/\1/p' pan.log
    fi
  )
}

expect() {
  local name=$1 define=$2 want=$3 order= got
  [ "$want" -eq 0 ] || order=-DBFS # breadth-first search finds a short counterexample
  got=$(explore "$name" "$define" "$order")
  states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' "$work/$name-$define/pan.log")
  if [ "$got" = "$want" ]; then
    echo "model $name $define: $got errors in $states states, as expected"
  else
    echo "model $name $define: $got errors in $states states, want $want" >&2
    return 1
  fi
}

# Checks one specification without mistakes and with each of them.
check() {
  local file=$1 name failed=0
  name=$(basename "$file" .pml)
  expect "$name" CORRECT 0 || failed=1
  for mistake in $(grep -oE '^ \*   MISTAKE_[A-Z]+' "$file" | sed 's/.* //'); do
    expect "$name" "$mistake" 1 || failed=1
  done
  return "$failed"
}

pids=()
for file in model/*.pml; do
  check "$file" &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do
  wait "$pid" || failed=1
done
exit "$failed"
