#!/usr/bin/env bash
# Runs all tests. Each check prints "ok NAME" or "FAILED NAME"; the last line prints the totals.
# Checks listed in KNOWN-RED.txt run and are printed, but do not count as failures.
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
passed=0
failed=0
RESULTS=$(mktemp)
trap 'rm -f "$RESULTS"' EXIT

known_red() { [ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt; }

report() { # NAME STATUS
  if [ "$2" = 0 ]; then
    passed=$((passed + 1))
    echo "ok $1"
  elif known_red "$1"; then
    echo "known red, passed over: $1"
  else
    failed=$((failed + 1))
    echo "FAILED $1"
  fi
}

check() { # NAME COMMAND...
  local name=$1 output status
  shift
  output=$("$@" 2>&1)
  status=$?
  [ $status = 0 ] || echo "$output" | tail -60
  report "$name" $status
}

# Runs a program that prints "ok NAME" and "FAILED NAME" lines and counts each line. The program
# itself counts as failed if it exits with an error but reports no failed check, or reports no check.
checks() { # COMMAND...
  local word name status
  "$@" >"$RESULTS" 2>&1
  status=$?
  grep -vE '^(ok|FAILED) ' "$RESULTS" | tail -60
  while read -r word name; do
    report "$name" "$([ "$word" = ok ] && echo 0 || echo 1)"
  done < <(grep -E '^(ok|FAILED) ' "$RESULTS")
  if [ $status != 0 ] && ! grep -q '^FAILED ' "$RESULTS" || ! grep -qE '^(ok|FAILED) ' "$RESULTS"; then
    report "$*" 1
  fi
}

scenario() { "$BUILD/tests/scenarios" "$1"; }
export -f scenario

echo "== format"
check format make --no-print-directory check-format
check names tools/names.sh
check co-await make --no-print-directory check-co-await
echo "== packages of the build"
checks python3 tests/packages/check.py
echo "== unit tests"
for program in "$BUILD"/tests/unit-*; do
  check "$(basename "$program")" "$program"
done
echo "== scenarios"
while read -r word file; do
  report "scenario-$(basename "$file" .scn)" "$([ "$word" = pass ] && echo 0 || echo 1)"
done < <(ls tests/scenarios/*.scn | xargs -P 6 -n 1 "$BUILD/tests/scenarios" |
  tee "$RESULTS" | grep -E '^(pass|FAIL) ')
grep -vE '^(pass|FAIL|scenarios:)' "$RESULTS"
if [ -x tools/model.sh ]; then
  echo "== models"
  checks tools/model.sh
fi
if [ -x "$BUILD/tests/explore" ]; then
  echo "== random schedules"
  check explore "$BUILD/tests/explore"
fi
if [ -x "$BUILD/tests/fuzz" ]; then
  echo "== random inputs"
  check fuzz "$BUILD/tests/fuzz"
fi
if [ -x "$BUILD/tests/bench" ]; then
  echo "== bench"
  check bench "$BUILD/tests/bench"
fi
if [ -x tools/process.sh ]; then
  echo "== processes"
  checks tools/process.sh
fi
if [ -x tools/stops.sh ]; then
  echo "== planned stops"
  checks tools/stops.sh
fi
if [ -x tools/memory.sh ]; then
  echo "== memory"
  checks tools/memory.sh
fi
echo "== demo"
check demo tools/demo.sh
echo "== linter"
check tidy make --no-print-directory tidy
if [ -f KNOWN-RED.txt ]; then
  echo "== known red"
  cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
