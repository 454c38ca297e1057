#!/usr/bin/env bash
# Plays crowds of callers that send or read without end against one real instance with a low limit on memory
# and descriptors, one case after the other. Prints "ok NAME" or "FAILED NAME" for each check.
# CASES names the cases to play.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
BASE=9
PEERS_WANTED=0
REQUEST_TIMEOUT_MS=60000
MEMORY_MB=128 # the limits are the instance's own settings and the bounds of the checks
DESCRIPTORS=4096
FEW_DESCRIPTORS=256
CASES=${CASES:-bodies-by-length bodies-by-length-in-pieces bodies-in-chunks bodies-in-chunks-in-pieces \
  heads-and-chunk-lines slow-readers callers-that-left half-heads}
. tools/site.sh
ADMINS=${ADMIN[e1]}
trap stop_site EXIT
failed=0
applied=

start store "$BUILD/tests/store-standin" "$STORE" "[{\"address\":\"${PEER[e1]}\",\"data_centre\":\"east-1\"}]"
start_backend stock-1 301 2
sleep 0.3
site_config >"$LOGS/config.json"

play() { # CASE DESCRIPTORS
  export VANILLALOFT_MEMORY_MB=$MEMORY_MB VANILLALOFT_MAX_DESCRIPTORS=$2
  start_instance e1
  for _ in $(seq 50); do # the store keeps the configuration for the cases that follow
    [ -n "$applied" ] && break
    ctl apply "$LOGS/config.json" >"$LOGS/apply.txt" 2>&1 && applied=1 || sleep 0.2
  done
  if wait_ready e1 && timeout 110 python3 tests/memory/crowd.py "$1" "${ENTRY[e1]}" "${PID[e1]}" "$MEMORY_MB" "$2"; then
    echo "ok memory-$1"
  else
    echo "FAILED memory-$1"
    failed=1
  fi
  kill -KILL "${PID[e1]}" 2>/dev/null
  wait "${PID[e1]}" 2>/dev/null
}

for name in $CASES; do
  descriptors=$DESCRIPTORS
  [ "$name" = half-heads ] && descriptors=$FEW_DESCRIPTORS
  play "$name" "$descriptors"
done
exit $failed
