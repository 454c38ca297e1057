#!/usr/bin/env bash
# Runs the unit test program of each library.
set -u
failed=0
for program in "$BUILD"/tests/unit-*; do
  "$program" || failed=1
done
exit $failed
