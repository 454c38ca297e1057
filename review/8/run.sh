#!/usr/bin/env bash
# The reader of one instance's standard output pauses for 20 s; see claim.txt. TROUBLE=0: it keeps reading.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
