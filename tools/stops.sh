#!/usr/bin/env bash
# Planned stops of real processes that hold requests in every way. Prints "ok NAME" or "FAILED NAME" for each check.
# PROGRAM: the instances' program, if it is not that of the build folder.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
PROGRAM=${PROGRAM:-$BUILD/src/vanillaloftd}
BASE=6
TICKET_TTL_MS=1000
export STOP_TIMEOUT_MS=3000
. tools/site.sh
trap stop_site EXIT
failed=0

start_site
export BACKENDS="${BASE}301 ${BASE}302 ${BASE}303"
# Requests may wait longer than a stop lasts, and one organisation has a low rate.
site_config | sed -e 's/"deadline_ms": 1000, "queue_ms": 100/"deadline_ms": 30000, "queue_ms": 30000/' \
  -e 's/"rate_per_s": 50,/"rate_per_s": 1,/' -e 's/"burst": 20,/"burst": 1,/' >"$LOGS/config.json"
sleep 0.3
ctl apply "$LOGS/config.json" >"$LOGS/apply.txt"
wait_ready e1 e2 e3 w1 || { echo "FAILED process-stop-site"; exit 1; }
python3 tests/stops/native.py $(for name in e1 e2 e3; do
  echo "$name=${ENTRY[$name]#*:}/${ADMIN[$name]#*:}/${PID[$name]}"; done) || failed=1
python3 tests/stops/stops.py "$PROGRAM" 2>"$LOGS/stops.txt" || failed=1
exit $failed
