#!/usr/bin/env bash
# Checks every model exhaustively, and checks that each mutation breaks its property.
# Usage: spec/check.sh, from any directory. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
spec="$PWD"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

depth=1000000    # search depth
memory=1024      # memory limit of a run in megabytes
limit=120        # time limit of a run in seconds
jobs=4           # runs at once

cases() {
  cat <<'LIST'
lease
lease NO_SUCCESSOR_WAIT
lease NO_TTL_WAIT
lease VALID_FROM_ANSWER
lease UNNAMED_TAKEOVER
lease RELEASE_IN_WAIT
lease DEADLINE_AFTER_CHECK
claims
claims DISPATCH_UNCLAIMED
claims DISPATCH_SECOND
claims RECLAIM_OF_DEAD
claims NOT_RUN_ON_RETRY
samples
samples SERVER_CURSOR
samples ANY_ANSWER
samples LOST_IS_DELIVERED
notes
notes LAST_WRITER_WINS
notes FORGET_IDS
notes TRUST_ANSWER
joblog
joblog UNCONDITIONAL
joblog REFUSE_UNKNOWN
joblog NO_FENCE
spread
spread ADOPT_OLDER
spread BOOT_EMPTY
spread NO_CHAIN_CHECK
spread NO_AUDIT
LIST
}

# verify MODEL [MUTATION] writes the verifier's report to a directory of its own.
verify() {
  local model="$1" mutation="${2:-}"
  local dir="$work/$model-${mutation:-base}"
  mkdir -p "$dir"
  cd "$dir"
  cp "$spec/$model.pml" .
  spin ${mutation:+-D$mutation} -a "$model.pml" >pan.log 2>&1 || return 0
  gcc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory -DVECTORSZ=2048 -o pan pan.c >>pan.log 2>&1 || return 0
  timeout "$limit" ./pan -m"$depth" >>pan.log 2>&1 || true
}

# judge MODEL [MUTATION] prints the result and fails if it is not the expected one.
judge() {
  local model="$1" mutation="${2:-}"
  local log="$work/$model-${mutation:-base}/pan.log"
  if [ -z "$mutation" ]; then
    if grep -q 'errors: 0' "$log" && ! grep -q 'Search not completed\|search depth too small' "$log"; then
      echo "ok   $model: $(awk '/states, stored/ {print $1; exit}' "$log") states, exhaustive, no error"
      return 0
    fi
    echo "FAIL $model: the property does not hold or the search did not end"
  else
    if grep -q 'errors: [1-9]' "$log"; then
      echo "ok   $model with $mutation: fails as it must ($(sed -n 's/^pan:[0-9]*: //p' "$log" | head -1))"
      return 0
    fi
    echo "FAIL $model with $mutation: the mutation breaks no property"
  fi
  grep -v '^Depth=' "$log" || true
  return 1
}

while read -r model mutation; do
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
  verify "$model" "$mutation" &
done < <(cases)
wait

failed=0
while read -r model mutation; do
  judge "$model" "$mutation" || failed=1
done < <(cases)
exit "$failed"
