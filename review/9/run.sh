#!/usr/bin/env bash
# An instance is stopped with SIGTERM while a request waits for a free slot; see claim.txt. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
