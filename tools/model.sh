#!/usr/bin/env bash
# Verifies the models with spin, and checks that spin finds an error in each broken variant.
set -u
cd "$(dirname "$0")/.."
here=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
hold=0
caught=0
failed=0

verify() { # MODEL [DEFINE]: prints the report of the spin verifier
  local dir
  dir=$(mktemp -d -p "$work")
  (cd "$dir" && spin -a ${2:+-D$2} "$here/model/$1.pml" >/dev/null &&
    gcc -O2 -DMEMLIM=4096 -DCOLLAPSE -o pan pan.c >/dev/null 2>&1 && ./pan -m200000 2>/dev/null)
}

holds() { # MODEL: counts it as verified if the search is complete and finds no error
  local report states
  report=$(verify "$1")
  states=$(echo "$report" | grep -oE '[0-9.e+]+ states, stored' | head -1)
  if echo "$report" | grep -q 'errors: 0' && ! echo "$report" | grep -q 'max search depth'; then
    hold=$((hold + 1))
    echo "ok model-$1"
    echo "model $1 holds: $states"
  else
    failed=$((failed + 1))
    echo "FAILED model-$1"
    echo "$report" | tail -20
  fi
}

broken() { # MODEL DEFINE: counts the variant as caught if the verifier finds an error
  if verify "$1" "$2" | grep -qE 'errors: [1-9]'; then
    caught=$((caught + 1))
    echo "ok model-$1-$2-caught"
  else
    failed=$((failed + 1))
    echo "FAILED model-$1-$2-caught"
  fi
}

holds shares
for define in EARLY_RECLAIM TERM_FROM_REPLY GIVE_AFTER_WRITE USE_UNCONFIRMED NO_TERM_CHECK; do
  broken shares $define
done
holds loans
for define in NO_RESERVE TERM_FROM_REPLY RELAY_FROM_REPLY NO_LAPSE_CHECK; do
  broken loans $define
done
holds tickets
for define in REMEMBER_AFTER_SEND HONOUR_FORMER RELEASE_ON_LOSS NOT_RUN_ON_LOSS; do
  broken tickets $define
done
echo "model: $hold hold, $caught broken caught"
[ $failed = 0 ]
